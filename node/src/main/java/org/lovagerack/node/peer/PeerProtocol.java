package org.lovagerack.node.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.foundation.error.ErrorKind;

/** Paths and bodies of the calls between entry VMs. */
final class PeerProtocol {

  static final String VIEW_PATH = "/v1/view";
  static final String PROCESS_PATH = "/v1/process";
  static final String JOBS_PATH = "/v1/jobs/";
  static final String QUEUES_PATH = "/v1/queues/";

  /** Incarnation of the process that a call is meant for. */
  static final String INCARNATION_HEADER = "Lovagerack-Incarnation";

  /** Incarnation of the process that calls. */
  static final String ENTRY_HEADER = "Lovagerack-Entry";

  /** Address of the process that calls, for calls to it. */
  static final String ADDRESS_HEADER = "Lovagerack-Address";

  /** Failure domain of the process that calls. */
  static final String FAILURE_DOMAIN_HEADER = "Lovagerack-Failure-Domain";

  /** Ends the wait of an entry VM for a job of best effort. */
  static final String ABANDON_SUFFIX = "/abandon";

  /** Whether an earlier owner may have received the job. */
  static final String REPEATED_HEADER = "Lovagerack-Repeated";

  /** How long the caller's client waits, milliseconds. */
  static final String PATIENCE_HEADER = "Lovagerack-Patience-Millis";

  static final int OK = 200;

  /**
   * A process that is not reached, or does not own the shard: the owner is looked for meanwhile.
   */
  static final JobAnswer NOT_THE_OWNER =
      new JobAnswer.Refused(ErrorKind.OWNER_UNREACHABLE, Duration.ofSeconds(1));

  /** Another incarnation has the address. */
  static final int MISDIRECTED = 421;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PeerProtocol() {}

  static Buffer encode(JobAnswer answer) {
    ObjectNode node = MAPPER.createObjectNode();
    switch (answer) {
      case JobAnswer.Accepted accepted -> node.put("answer", "accepted");
      case JobAnswer.State state -> node.put("answer", "state").put("state", state.state().name());
      case JobAnswer.Cancelled cancelled -> node.put("answer", "cancelled");
      case JobAnswer.Pending pending -> node.put("answer", "pending").put("jobs", pending.jobs());
      case JobAnswer.UnknownJob unknown -> node.put("answer", "unknown-job");
      case JobAnswer.Refused refused ->
          node.put("answer", "refused")
              .put("kind", refused.kind().name())
              .put("retryAfterMillis", refused.retryAfter().toMillis());
      case JobAnswer.Unresolved unresolved ->
          node.put("answer", "unresolved").put("kind", unresolved.kind().name());
    }
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree cannot be written", e);
    }
  }

  static Buffer encodeVersion(long viewVersion) {
    return Buffer.buffer(Long.toString(viewVersion));
  }

  static long decodeVersion(Buffer body) throws IOException {
    try {
      return Long.parseLong(body.toString());
    } catch (NumberFormatException e) {
      throw new IOException("view version " + body, e);
    }
  }

  static JobAnswer decode(Buffer body) throws IOException {
    JsonNode node = MAPPER.readTree(body.getBytes());
    String answer = node.path("answer").asText();
    try {
      return switch (answer) {
        case "accepted" -> new JobAnswer.Accepted();
        case "state" -> new JobAnswer.State(JobState.valueOf(node.path("state").asText()));
        case "cancelled" -> new JobAnswer.Cancelled();
        case "pending" -> new JobAnswer.Pending(node.path("jobs").asLong());
        case "unknown-job" -> new JobAnswer.UnknownJob();
        case "refused" ->
            new JobAnswer.Refused(
                ErrorKind.valueOf(node.path("kind").asText()),
                Duration.ofMillis(node.path("retryAfterMillis").asLong()));
        case "unresolved" ->
            new JobAnswer.Unresolved(ErrorKind.valueOf(node.path("kind").asText()));
        default -> throw new IOException("answer " + answer);
      };
    } catch (IllegalArgumentException e) {
      throw new IOException("answer " + answer, e);
    }
  }
}
