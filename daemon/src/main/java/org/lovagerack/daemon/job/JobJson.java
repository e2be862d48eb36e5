package org.lovagerack.daemon.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.submission.JobRequest;
import org.lovagerack.submission.JobStatus;
import org.lovagerack.submission.TaskRequest;

/** Parses job requests from JSON and writes the status of jobs as JSON. */
final class JobJson {

  /** A typical run time for tasks that declare none. It does not influence any decision. */
  private static final long DEFAULT_RUN_TIME_MILLIS = 200;

  private static final String DEFAULT_TEAM = "default";

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION.mappedFeature());

  private JobJson() {}

  /**
   * Parses a job or an urgent request. An urgent request has the fields of its single task in place
   * of the field {@code tasks}.
   *
   * @throws LovagerackException of kind {@code MALFORMED_REQUEST}, naming every problem
   */
  static JobRequest parse(Bytes body) throws LovagerackException {
    JsonNode node = readObject(body);
    FieldReader reader = new FieldReader(node, "");
    return node.has("tasks") ? parseJob(reader) : parseUrgentRequest(reader);
  }

  private static JobRequest parseJob(FieldReader reader) throws LovagerackException {
    String service = reader.text("service");
    String kind = reader.text("kind");
    String team = reader.text("team", DEFAULT_TEAM);
    boolean urgent = reader.flag("urgent", false);
    long deadlineMillis = reader.number("deadlineMillis");
    List<TaskRequest> tasks = new ArrayList<>();
    List<JsonNode> taskNodes = reader.array("tasks");
    for (int i = 0; i < taskNodes.size(); i++) {
      tasks.add(parseTask(reader.child(taskNodes.get(i), "/tasks/" + i)));
    }
    reader.requireValid();
    return new JobRequest(service, kind, team, urgent, Duration.ofMillis(deadlineMillis), tasks);
  }

  private static JobRequest parseUrgentRequest(FieldReader reader) throws LovagerackException {
    String service = reader.text("service");
    String kind = reader.text("kind");
    String team = reader.text("team", DEFAULT_TEAM);
    long deadlineMillis = reader.number("deadlineMillis");
    TaskRequest task = readTaskFields(reader);
    reader.requireValid();
    return new JobRequest(
        service, kind, team, true, Duration.ofMillis(deadlineMillis), List.of(task));
  }

  /**
   * Parses the number of identifiers to issue.
   *
   * @throws LovagerackException of kind {@code MALFORMED_REQUEST}
   */
  static int parseCount(Bytes body, int maxCount) throws LovagerackException {
    FieldReader reader = new FieldReader(readObject(body), "");
    long count = reader.number("count");
    reader.requireValid();
    if (count < 1 || count > maxCount) {
      throw malformed("/count: must be from 1 to " + maxCount + " (value " + count + ")");
    }
    return (int) count;
  }

  static ObjectNode statusNode(String id, JobStatus status) {
    ObjectNode node = MAPPER.createObjectNode().put("id", id);
    switch (status) {
      case JobStatus.Running running ->
          node.put("state", "running")
              .put("finishedTasks", running.finishedTasks())
              .put("taskCount", running.taskCount());
      case JobStatus.Completed completed -> {
        node.put("state", "completed");
        ArrayNode answers = node.putArray("answers");
        completed.answers().forEach(answer -> answers.add(answer.toText()));
      }
      case JobStatus.Failed failed ->
          node.put("state", "failed").set("problem", ProblemJson.node(failed.failure()));
    }
    return node;
  }

  static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  private static TaskRequest parseTask(FieldReader reader) {
    TaskRequest task = readTaskFields(reader);
    reader.checkUnknownFields();
    return task;
  }

  private static TaskRequest readTaskFields(FieldReader reader) {
    Bytes body = Bytes.ofText(reader.text("body"));
    long declaredBytes = reader.number("sizeBytes", body.length());
    long runTimeMillis = reader.number("runTimeMillis", DEFAULT_RUN_TIME_MILLIS);
    boolean repeatable = reader.flag("repeatable", false);
    return new TaskRequest(body, declaredBytes, Duration.ofMillis(runTimeMillis), repeatable);
  }

  private static JsonNode readObject(Bytes body) throws LovagerackException {
    try {
      JsonNode node = MAPPER.readTree(body.toByteArray());
      if (node == null || !node.isObject()) {
        throw malformed("the body is not a JSON object");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw malformed("the body is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw malformed("the body cannot be read: " + e.getMessage());
    }
  }

  static LovagerackException malformed(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.MALFORMED_REQUEST, detail));
  }
}
