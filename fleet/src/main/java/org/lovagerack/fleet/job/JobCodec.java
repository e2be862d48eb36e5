package org.lovagerack.fleet.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.foundation.data.Bytes;

/** Encodes jobs as JSON for the store and for calls between entry VMs. */
public final class JobCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Token of a job that no owner has accepted yet. */
  private static final long NO_TOKEN = 0;

  private JobCodec() {}

  /** Encodes a job. */
  public static Bytes encode(SubmittedJob job) {
    return bytes(jobNode(job));
  }

  private static ObjectNode jobNode(SubmittedJob job) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("id", job.id());
    node.put("acceptedByToken", job.acceptedByToken());
    node.set("queue", queueNode(job.queue()));
    node.put("specification", job.spec().specification());
    node.put("bestEffort", job.spec().bestEffort());
    ArrayNode steps = node.putArray("steps");
    job.spec().steps().forEach(step -> steps.add(stepNode(step)));
    if (!job.site().equals(JobSite.ORIGIN)) {
      node.set("site", siteNode(job.site()));
    }
    return node;
  }

  /**
   * Decodes a job.
   *
   * @throws MalformedRecordException if a field is missing or out of range
   */
  public static SubmittedJob decodeJob(Bytes encoded) throws MalformedRecordException {
    return job(parse(encoded));
  }

  private static SubmittedJob job(JsonNode node) throws MalformedRecordException {
    List<StepSpec> steps = new ArrayList<>();
    try {
      for (JsonNode step : field(node, "steps")) {
        steps.add(step(step));
      }
      return new SubmittedJob(
          field(node, "id").asText(),
          queue(field(node, "queue")),
          field(node, "acceptedByToken").asLong(),
          new JobSpec(
              field(node, "specification").asText(), steps, field(node, "bestEffort").asBoolean()),
          node.has("site") ? site(node.get("site")) : JobSite.ORIGIN);
    } catch (IllegalArgumentException e) {
      throw new MalformedRecordException("invalid job: " + e.getMessage(), e);
    }
  }

  private static ObjectNode siteNode(JobSite site) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("transfers", site.transfers())
            .put("firstRun", site.firstRun());
    switch (site) {
      case JobSite.Home home -> node.put("kind", "home");
      case JobSite.Transferred transferred ->
          node.put("kind", "transferred").put("hostShard", transferred.hostShard());
      case JobSite.Hosted hosted -> node.put("kind", "hosted");
    }
    return node;
  }

  private static JobSite site(JsonNode node) throws MalformedRecordException {
    int transfers = field(node, "transfers").asInt();
    int firstRun = field(node, "firstRun").asInt();
    String kind = field(node, "kind").asText();
    return switch (kind) {
      case "home" -> new JobSite.Home(transfers, firstRun);
      case "transferred" ->
          new JobSite.Transferred(field(node, "hostShard").asInt(), transfers, firstRun);
      case "hosted" -> new JobSite.Hosted(transfers, firstRun);
      default -> throw new MalformedRecordException("unknown site of a job: " + kind);
    };
  }

  /** Encodes what a submission asks for; the transport tells who submits it. */
  public static Bytes encode(Submission submission) {
    ObjectNode node =
        jobNode(
            new SubmittedJob(submission.jobId(), submission.queue(), NO_TOKEN, submission.spec()));
    submission.carried().ifPresent(carried -> node.set("carried", carriedStateNode(carried)));
    return bytes(node);
  }

  /**
   * Decodes a submission.
   *
   * @param clientTimeout how long the client waits for the answer
   * @param entry entry VM process that the client is connected to
   * @param repeated whether a former owner may have received the job
   * @throws MalformedRecordException if a field is missing or out of range
   */
  public static Submission decodeSubmission(
      Bytes encoded, Duration clientTimeout, EntryId entry, boolean repeated)
      throws MalformedRecordException {
    JsonNode node = parse(encoded);
    SubmittedJob job = job(node);
    return new Submission(
        job.id(),
        job.queue(),
        job.spec(),
        clientTimeout,
        entry,
        repeated,
        node.has("carried") ? Optional.of(carriedState(node.get("carried"))) : Optional.empty());
  }

  /** Encodes a request to the host of a job. */
  public static Bytes encode(HostRequest request) {
    ObjectNode node = MAPPER.createObjectNode();
    node.set("job", jobNode(request.job()));
    node.set("progress", progressNode(request.progress()));
    node.put("cancel", request.cancel());
    return bytes(node);
  }

  /**
   * Decodes a request to the host of a job.
   *
   * @throws MalformedRecordException if a field is missing or out of range
   */
  public static HostRequest decodeHostRequest(Bytes encoded) throws MalformedRecordException {
    JsonNode node = parse(encoded);
    return new HostRequest(
        job(field(node, "job")),
        progress(field(node, "progress")),
        field(node, "cancel").asBoolean());
  }

  /** Encodes the state of a job that changes its shard. */
  public static Bytes encode(CarriedState state) {
    return bytes(carriedStateNode(state));
  }

  /**
   * Decodes the state of a job that changes its shard.
   *
   * @throws MalformedRecordException if a field is missing or out of range
   */
  public static CarriedState decodeCarriedState(Bytes encoded) throws MalformedRecordException {
    return carriedState(parse(encoded));
  }

  private static ObjectNode carriedStateNode(CarriedState state) {
    ObjectNode node = MAPPER.createObjectNode();
    node.set("progress", progressNode(state.progress()));
    node.put("nextRun", state.nextRun());
    return node;
  }

  private static CarriedState carriedState(JsonNode node) throws MalformedRecordException {
    return new CarriedState(progress(field(node, "progress")), field(node, "nextRun").asInt());
  }

  /** Encodes progress. */
  public static Bytes encode(JobProgress progress) {
    return bytes(progressNode(progress));
  }

  private static ObjectNode progressNode(JobProgress progress) {
    ObjectNode node = MAPPER.createObjectNode();
    ArrayNode done = node.putArray("done");
    progress.doneTasks().forEach(done::add);
    ObjectNode failed = node.putObject("failedRuns");
    progress
        .failedRuns()
        .forEach(
            (task, runs) -> {
              ArrayNode numbers = failed.putArray(Integer.toString(task));
              runs.forEach(numbers::add);
            });
    ObjectNode lost = node.putObject("lostRuns");
    progress
        .lostRuns()
        .forEach(
            (task, runs) -> {
              ArrayNode array = lost.putArray(Integer.toString(task));
              runs.forEach(run -> array.add(lostRunNode(run)));
            });
    node.put("started", progress.started());
    node.put("storedAtMillis", progress.storedAtMillis());
    return node;
  }

  /**
   * Decodes progress.
   *
   * @throws MalformedRecordException if a field is missing or out of range
   */
  public static JobProgress decodeProgress(Bytes encoded) throws MalformedRecordException {
    return progress(parse(encoded));
  }

  private static JobProgress progress(JsonNode node) throws MalformedRecordException {
    List<Integer> done = integers(field(node, "done"));
    Map<Integer, List<Integer>> failedRuns = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : field(node, "failedRuns").properties()) {
      failedRuns.put(taskNumber(entry.getKey()), integers(entry.getValue()));
    }
    Map<Integer, List<LostRun>> lostRuns = new TreeMap<>();
    // Earlier versions did not store lost runs.
    for (Map.Entry<String, JsonNode> entry : node.path("lostRuns").properties()) {
      List<LostRun> runs = new ArrayList<>();
      for (JsonNode run : entry.getValue()) {
        runs.add(lostRun(run));
      }
      lostRuns.put(taskNumber(entry.getKey()), runs);
    }
    // Earlier versions did not store whether the job has started.
    boolean started = node.path("started").asBoolean(!done.isEmpty() || !failedRuns.isEmpty());
    return new JobProgress(
        done, failedRuns, lostRuns, started, node.path("storedAtMillis").asLong());
  }

  private static int taskNumber(String key) throws MalformedRecordException {
    try {
      return Integer.parseInt(key);
    } catch (NumberFormatException e) {
      throw new MalformedRecordException("invalid progress of task " + key, e);
    }
  }

  private static ObjectNode lostRunNode(LostRun run) {
    return MAPPER
        .createObjectNode()
        .put("worker", run.worker())
        .put("address", run.address())
        .put("incarnation", run.incarnation())
        .put("confirmed", run.confirmed())
        .put("crashed", run.crashed());
  }

  private static LostRun lostRun(JsonNode node) throws MalformedRecordException {
    return new LostRun(
        field(node, "worker").asText(),
        field(node, "address").asText(),
        field(node, "incarnation").asLong(),
        field(node, "confirmed").asBoolean(),
        field(node, "crashed").asBoolean());
  }

  /** Encodes an ended job. */
  public static Bytes encode(EndedJob job) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("state", job.state().name().toLowerCase(Locale.ROOT));
    node.put("endedAtMillis", job.endedAtMillis());
    job.handback().ifPresent(handback -> node.set("handback", carriedStateNode(handback)));
    return bytes(node);
  }

  /**
   * Decodes an ended job.
   *
   * @throws MalformedRecordException if a field is missing or the state is not a final one
   */
  public static EndedJob decodeEnded(Bytes encoded) throws MalformedRecordException {
    JsonNode node = parse(encoded);
    if (node.has("handback")) {
      return new EndedJob(
          JobState.QUEUED,
          field(node, "endedAtMillis").asLong(),
          Optional.of(carriedState(node.get("handback"))));
    }
    String name = field(node, "state").asText();
    for (JobState state : JobState.values()) {
      if (state.ended() && state.name().toLowerCase(Locale.ROOT).equals(name)) {
        return new EndedJob(state, field(node, "endedAtMillis").asLong());
      }
    }
    throw new MalformedRecordException("unknown final state " + name);
  }

  private static ObjectNode queueNode(Queue queue) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("name", queue.name());
    node.put("host", queue.host());
    node.put("prefix", queue.prefix());
    node.put("service", queue.service());
    node.put("priority", queue.priority());
    node.put("attempts", queue.attempts());
    node.put("stretch", queue.stretch());
    node.put("targetMillis", queue.targetLatency().toMillis());
    return node;
  }

  private static Queue queue(JsonNode node) throws MalformedRecordException {
    return new Queue(
        field(node, "name").asText(),
        field(node, "host").asText(),
        field(node, "prefix").asText(),
        field(node, "service").asText(),
        field(node, "priority").asInt(),
        field(node, "attempts").asInt(),
        field(node, "stretch").asDouble(),
        Duration.ofMillis(field(node, "targetMillis").asLong()));
  }

  private static ObjectNode stepNode(StepSpec step) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("tasks", step.taskCount());
    node.put("cpuMillicores", step.request().cpuMillicores());
    node.put("memoryMegabytes", step.request().memoryMegabytes());
    node.put("accelerators", step.request().accelerators());
    node.put("estimatedMillis", step.estimatedDuration().toMillis());
    if (!step.after().isEmpty()) {
      ArrayNode after = node.putArray("after");
      step.after().forEach(after::add);
    }
    node.put("requiredLabel", step.requiredLabel());
    node.put("dataRack", step.dataRack());
    node.put("maxPerWorker", step.maxPerWorker());
    return node;
  }

  private static StepSpec step(JsonNode node) throws MalformedRecordException {
    return new StepSpec(
        field(node, "tasks").asInt(),
        Resources.received(
            field(node, "cpuMillicores").asLong(),
            field(node, "memoryMegabytes").asLong(),
            field(node, "accelerators").asLong()),
        Duration.ofMillis(field(node, "estimatedMillis").asLong()),
        node.has("after") ? integers(node.get("after")) : List.of(),
        field(node, "requiredLabel").asText(),
        field(node, "dataRack").asText(),
        field(node, "maxPerWorker").asInt());
  }

  private static List<Integer> integers(JsonNode array) {
    List<Integer> values = new ArrayList<>();
    array.forEach(value -> values.add(value.asInt()));
    return values;
  }

  private static JsonNode field(JsonNode node, String name) throws MalformedRecordException {
    JsonNode value = node.get(name);
    if (value == null || value.isNull()) {
      throw new MalformedRecordException("field " + name + " is missing");
    }
    return value;
  }

  private static JsonNode parse(Bytes encoded) throws MalformedRecordException {
    try {
      return MAPPER.readTree(encoded.toByteArray());
    } catch (IOException e) {
      throw new MalformedRecordException("invalid JSON", e);
    }
  }

  private static Bytes bytes(JsonNode node) {
    try {
      return Bytes.copyOf(MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a JSON tree", e);
    }
  }
}
