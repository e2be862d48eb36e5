package org.lovagerack.standins.cluster;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** A submitted job and its outcome. */
public final class SubmittedJob {

  private final JobKind kind;
  private final int number;
  private final String id;
  private String state = "unknown";
  private JsonObject problem = new JsonObject();
  private List<String> answers = List.of();
  private long responseMillis;

  public SubmittedJob(JobKind kind, int number, String id) {
    this.kind = kind;
    this.number = number;
    this.id = id;
  }

  /** Returns the same job without an outcome. */
  public SubmittedJob resubmission() {
    return new SubmittedJob(kind, number, id);
  }

  public JobKind kind() {
    return kind;
  }

  public String id() {
    return id;
  }

  public String state() {
    return state;
  }

  public String problemKind() {
    return problem.getString("kind", "none");
  }

  public boolean isReportedAsNotRun() {
    return "not-run".equals(problem.getString("outcome"));
  }

  public long responseMillis() {
    return responseMillis;
  }

  /** Returns the body of the submission. */
  public String body() {
    JsonArray tasks = new JsonArray();
    for (int i = 0; i < kind.taskCount(); i++) {
      tasks.add(
          new JsonObject()
              .put("body", taskBody(i))
              .put("runTimeMillis", kind.workMillis())
              .put("repeatable", kind.repeatable()));
    }
    return new JsonObject()
        .put("service", Cluster.SERVICE)
        .put("kind", kind.kind())
        .put("urgent", kind.urgent())
        .put("deadlineMillis", kind.timeLimit().toMillis())
        .put("tasks", tasks)
        .encode();
  }

  private String taskBody(int index) {
    return new JsonObject()
        .put("workMillis", kind.workMillis())
        .put("job", number)
        .put("task", index)
        .encode();
  }

  /** Records the reply to a submission or to a status request. */
  public void recordReply(BlockingHttp.Reply reply, long elapsedMillis) {
    JsonObject json = reply.json();
    responseMillis = elapsedMillis;
    state = json.getString("state", "failed");
    if (state.equals("completed")) {
      List<String> received = new ArrayList<>();
      json.getJsonArray("answers").forEach(answer -> received.add((String) answer));
      answers = received;
    } else if (state.equals("failed")) {
      problem = json.getJsonObject("problem", json);
    }
  }

  /** Returns whether each task has its own answer, in the order of the tasks. */
  public boolean hasCorrectAnswers() {
    if (answers.size() != kind.taskCount()) {
      return false;
    }
    for (int i = 0; i < answers.size(); i++) {
      if (!answers.get(i).equals("done:" + taskBody(i))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns a lower bound of the response time in a failure domain without other jobs,
   * milliseconds.
   */
  public double idealMillis(double fastestSpeed, double capacity) {
    double longest = kind.workMillis() / fastestSpeed;
    return Math.max(longest, kind.workMillis() * kind.taskCount() / capacity);
  }
}
