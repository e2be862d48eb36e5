package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Subcommands that submit, query and cancel jobs. */
final class JobCommands {

  static final String COUNT = "count";

  private static final String JOBS = "/v1/jobs";
  private static final String IDS = "ids";

  /** Limits the wait of one request, so that an unresponsive connection is detected. */
  private static final Duration MAX_REQUEST_WAIT = Duration.ofSeconds(20);

  /** Limits the request rate, because an entry VM may answer before the requested wait is over. */
  private static final Duration POLL_PERIOD = Duration.ofMillis(200);

  private final WaitClock clock;
  private final PrintStream notices;

  JobCommands(WaitClock clock, PrintStream notices) {
    this.clock = clock;
    this.notices = notices;
  }

  /** Submits a job under an identifier, which makes it safe to retry at another entry VM. */
  Result submit(EntryClient entry, Namespace options) throws LovagerackException {
    String body = InputFile.read(options);
    Duration wait = Options.wait(options);
    Deadline deadline = new Deadline(clock, wait);
    String requestedId = options.getString(Options.ID);
    String id = requestedId == null ? issueIds(entry, 1).getFirst() : requestedId;
    notices.println("submission identifier: " + id);
    EntryCall call = EntryCall.post(JOBS, body).withHeader("Idempotency-Key", id);
    try {
      ObjectNode status =
          entry.call(wait.isZero() ? call : call.withWait(nextRequestWait(deadline)));
      return describe(id, await(entry, id, status, deadline), wait);
    } catch (LovagerackException e) {
      return new Result("", Json.object().put(Options.ID, id), Optional.of(e.failure()));
    }
  }

  Result issueIds(EntryClient entry, Namespace options) throws LovagerackException {
    List<String> ids = issueIds(entry, options.getInt(COUNT));
    ObjectNode json = Json.object();
    json.set(IDS, Json.array(ids));
    return Result.of(String.join(System.lineSeparator(), ids) + System.lineSeparator(), json);
  }

  Result show(EntryClient entry, Namespace options) throws LovagerackException {
    String id = options.getString(Options.ID);
    Duration wait = Options.wait(options);
    Deadline deadline = new Deadline(clock, wait);
    ObjectNode status = entry.call(statusCall(id, deadline));
    return describe(id, await(entry, id, status, deadline), wait);
  }

  /** Cancels a job; returns the result of a job that had already finished. */
  Result cancel(EntryClient entry, Namespace options) throws LovagerackException {
    String id = options.getString(Options.ID);
    Result result = JobView.result(entry.call(EntryCall.withoutBody(HttpMethod.DELETE, path(id))));
    boolean cancelled =
        result.failure().filter(failure -> failure.kind() == ErrorKind.CANCELLED).isPresent();
    return cancelled
        ? Result.of("id     %s%nstate  cancelled%n".formatted(id), result.json())
        : result;
  }

  private static List<String> issueIds(EntryClient entry, int count) throws LovagerackException {
    ObjectNode answer =
        entry.call(
            EntryCall.post("/v1/submission-ids", Json.object().put(COUNT, count).toString()));
    List<String> ids = Json.strings(answer.path(IDS));
    if (ids.size() != count) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.INTERNAL,
              "requested %d identifiers but received %d".formatted(count, ids.size())));
    }
    return ids;
  }

  private ObjectNode await(
      EntryClient entry, String id, ObjectNode initialStatus, Deadline deadline)
      throws LovagerackException {
    ObjectNode status = initialStatus;
    while (JobView.isRunning(status) && !deadline.expired()) {
      deadline.pause(POLL_PERIOD);
      status = entry.call(statusCall(id, deadline));
    }
    return status;
  }

  private static Result describe(String id, ObjectNode status, Duration wait) {
    Result result = JobView.result(status);
    return wait.isZero() || !JobView.isRunning(status)
        ? result
        : result.withFailure(
            Failure.mayHaveRun(
                ErrorKind.DEADLINE_EXCEEDED,
                "still running after %d s; check again with: lovagerack job %s"
                    .formatted(wait.toSeconds(), id)));
  }

  private static EntryCall statusCall(String id, Deadline deadline) {
    EntryCall call = EntryCall.withoutBody(HttpMethod.GET, path(id));
    return deadline.expired() ? call : call.withWait(nextRequestWait(deadline));
  }

  /** Returns the wait of the next request, rounded up to whole seconds as the header requires. */
  private static Duration nextRequestWait(Deadline deadline) {
    Duration remaining = Duration.ofSeconds(deadline.remaining().plusMillis(999).toSeconds());
    return remaining.compareTo(MAX_REQUEST_WAIT) < 0 ? remaining : MAX_REQUEST_WAIT;
  }

  private static String path(String id) {
    return JOBS + "/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
  }
}
