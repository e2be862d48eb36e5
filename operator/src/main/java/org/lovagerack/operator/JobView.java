package org.lovagerack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Renders the status of a job. */
final class JobView {

  private static final String STATE = "state";

  private JobView() {}

  static boolean isRunning(JsonNode status) {
    return status.path(STATE).asText().equals("running");
  }

  /** Returns the printable status of a job, including the failure of a failed job. */
  static Result result(ObjectNode status) {
    StringBuilder text =
        new StringBuilder("id     %s%n".formatted(status.path(Options.ID).asText()))
            .append("state  %s%n".formatted(state(status)));
    int index = 0;
    for (JsonNode answer : status.path("answers")) {
      // Answers are printed as JSON strings, which escape terminal control characters.
      text.append("answer %d  %s%n".formatted(index++, answer));
    }
    Result result = Result.of(text.toString(), status);
    return status.has("problem")
        ? result.withFailure(ProblemDetails.read(status.get("problem")))
        : result;
  }

  private static String state(JsonNode status) {
    String state = status.path(STATE).asText("unknown");
    return isRunning(status)
        ? "%s, %d of %d tasks finished"
            .formatted(
                state, status.path("finishedTasks").asInt(), status.path("taskCount").asInt())
        : state;
  }
}
