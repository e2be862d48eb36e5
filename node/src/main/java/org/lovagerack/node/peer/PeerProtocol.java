package org.lovagerack.node.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.shard.ShardLoad;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;

/** Paths, headers and bodies of the calls between entry VMs. */
final class PeerProtocol {

  static final String VIEW_PATH = "/v1/view";
  static final String PROCESS_PATH = "/v1/process";
  static final String JOBS_PATH = "/v1/jobs/";
  static final String QUEUES_PATH = "/v1/queues/";

  /** Incarnation of the process that a call is addressed to. */
  static final String INCARNATION_HEADER = "Lovagerack-Incarnation";

  /** Incarnation of the calling process. */
  static final String ENTRY_HEADER = "Lovagerack-Entry";

  /** Address at which the calling process accepts calls. */
  static final String ADDRESS_HEADER = "Lovagerack-Address";

  /** Failure domain of the calling process. */
  static final String FAILURE_DOMAIN_HEADER = "Lovagerack-Failure-Domain";

  /** Evacuations that the calling process knows, in the format of {@link EvacuationHeader}. */
  static final String EVACUATIONS_HEADER = "Lovagerack-Evacuations";

  /** Suffix of the call that abandons a best-effort job whose client no longer waits. */
  static final String ABANDON_SUFFIX = "/abandon";

  /** Suffix of the call that runs or cancels a durable job of another shard. */
  static final String HOST_SUFFIX = "/host";

  /** Index of the shard that is to serve the call; by default, the shard of the job. */
  static final String SHARD_HEADER = "Lovagerack-Shard";

  /** Whether a former owner may have received the job. */
  static final String REPEATED_HEADER = "Lovagerack-Repeated";

  /** Whether the owner may redirect the job to another shard. */
  static final String REDIRECTABLE_HEADER = "Lovagerack-Redirectable";

  /** Whether the answer to a probe contains the loads of the process's shards. */
  static final String LOADS_HEADER = "Lovagerack-Loads";

  /** Time for which the client of the caller waits, in milliseconds. */
  static final String CLIENT_TIMEOUT_HEADER = "Lovagerack-Patience-Millis";

  static final int OK = 200;

  /** Greater than the index of any shard. */
  static final int MAX_SHARD = 1_000_000;

  /** Parts of the line that describes a load; the service, the last one, may contain spaces. */
  private static final int LOAD_PARTS = 5;

  /** The process is unreachable or not the owner; retries allow time to find the owner. */
  static final JobAnswer NOT_OWNER =
      new JobAnswer.Refused(ErrorKind.OWNER_UNREACHABLE, Duration.ofSeconds(1));

  /** Status 421, Misdirected Request: another incarnation uses the address. */
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
      case JobAnswer.HandedBack handedBack ->
          node.put("answer", "handed-back")
              .put("handback", JobCodec.encode(handedBack.handback()).toText());
      case JobAnswer.Redirected redirected ->
          node.put("answer", "redirected").put("shard", redirected.shard());
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
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }

  /** Encodes the answer to a probe: the version of the view, then a line for each load. */
  static Buffer encodeProbe(long viewVersion, List<ShardLoad> loads) {
    StringBuilder text = new StringBuilder().append(viewVersion);
    for (ShardLoad load : loads) {
      text.append('\n')
          .append(load.shard())
          .append(' ')
          .append(load.freeTasks())
          .append(' ')
          .append(load.waitingTasks())
          .append(' ')
          .append(load.capacityTasks())
          .append(' ')
          .append(load.service());
    }
    return Buffer.buffer(text.toString());
  }

  static PeerCalls.Alive decodeProbe(Buffer body) throws IOException {
    String[] lines = body.toString().split("\n", -1);
    try {
      List<ShardLoad> loads = new ArrayList<>();
      for (int line = 1; line < lines.length; line++) {
        String[] parts = lines[line].split(" ", LOAD_PARTS);
        if (parts.length < LOAD_PARTS) {
          throw new IOException("invalid load: " + lines[line]);
        }
        loads.add(
            new ShardLoad(
                Integer.parseInt(parts[0]),
                parts[4],
                Integer.parseInt(parts[1]),
                Integer.parseInt(parts[2]),
                Integer.parseInt(parts[3])));
      }
      return new PeerCalls.Alive(Long.parseLong(lines[0]), loads);
    } catch (IllegalArgumentException e) {
      throw new IOException("invalid answer to a probe: " + lines[0], e);
    }
  }

  private static int shard(JsonNode value) throws IOException {
    if (!value.isInt() || value.asInt() < 0 || value.asInt() > MAX_SHARD) {
      throw new IOException("invalid shard: " + value);
    }
    return value.asInt();
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
        case "handed-back" ->
            new JobAnswer.HandedBack(
                JobCodec.decodeCarriedState(Bytes.ofText(node.path("handback").asText())));
        case "redirected" -> new JobAnswer.Redirected(shard(node.path("shard")));
        case "unknown-job" -> new JobAnswer.UnknownJob();
        case "refused" ->
            new JobAnswer.Refused(
                ErrorKind.valueOf(node.path("kind").asText()),
                Duration.ofMillis(node.path("retryAfterMillis").asLong()));
        case "unresolved" ->
            new JobAnswer.Unresolved(ErrorKind.valueOf(node.path("kind").asText()));
        default -> throw new IOException("unknown answer: " + answer);
      };
    } catch (IllegalArgumentException | MalformedRecordException e) {
      throw new IOException("malformed answer: " + answer, e);
    }
  }
}
