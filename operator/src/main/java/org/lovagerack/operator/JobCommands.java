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

/** Subcommands on jobs. */
final class JobCommands {

  static final String COUNT = "count";

  private static final String JOBS = "/v1/jobs";
  private static final String IDS = "ids";

  /** One request waits no longer, so that a connection that went silent is noticed. */
  private static final Duration LONGEST_REQUEST = Duration.ofSeconds(20);

  /** An entry VM may answer earlier than asked for; this limits how often it is asked. */
  private static final Duration POLL_PERIOD = Duration.ofMillis(200);

  private final WaitClock clock;
  private final PrintStream notices;

  JobCommands(WaitClock clock, PrintStream notices) {
    this.clock = clock;
    this.notices = notices;
  }

  /** Submits under an identifier, which is why a lost answer may be asked for at another VM. */
  Result submit(EntryClient entry, Namespace options) throws LovagerackException {
    String body = InputFile.read(options);
    Duration wait = Options.wait(options);
    Countdown countdown = new Countdown(clock, wait);
    String given = options.getString(Options.ID);
    String id = given == null ? issue(entry, 1).getFirst() : given;
    notices.println("submission identifier: " + id);
    EntryCall call = EntryCall.post(JOBS, body).header("Idempotency-Key", id);
    try {
      ObjectNode status = entry.call(wait.isZero() ? call : call.waiting(step(countdown)));
      return describe(id, await(entry, id, status, countdown), wait);
    } catch (LovagerackException e) {
      return new Result("", Json.object().put(Options.ID, id), Optional.of(e.failure()));
    }
  }

  Result issue(EntryClient entry, Namespace options) throws LovagerackException {
    List<String> ids = issue(entry, options.getInt(COUNT));
    ObjectNode json = Json.object();
    json.set(IDS, Json.array(ids));
    return Result.of(String.join(System.lineSeparator(), ids) + System.lineSeparator(), json);
  }

  Result show(EntryClient entry, Namespace options) throws LovagerackException {
    String id = options.getString(Options.ID);
    Duration wait = Options.wait(options);
    Countdown countdown = new Countdown(clock, wait);
    ObjectNode status = entry.call(statusCall(id, countdown));
    return describe(id, await(entry, id, status, countdown), wait);
  }

  /** Cancels a job; a job that finished before has its own result. */
  Result cancel(EntryClient entry, Namespace options) throws LovagerackException {
    String id = options.getString(Options.ID);
    Result result = JobView.result(entry.call(EntryCall.of(HttpMethod.DELETE, path(id))));
    boolean cancelled =
        result.failure().filter(failure -> failure.kind() == ErrorKind.CANCELLED).isPresent();
    return cancelled
        ? Result.of("id     %s%nstate  cancelled%n".formatted(id), result.json())
        : result;
  }

  private static List<String> issue(EntryClient entry, int count) throws LovagerackException {
    ObjectNode answer =
        entry.call(
            EntryCall.post("/v1/submission-ids", Json.object().put(COUNT, count).toString()));
    List<String> ids = Json.texts(answer.path(IDS));
    if (ids.size() != count) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.INTERNAL,
              "asked for %d identifiers and got %d".formatted(count, ids.size())));
    }
    return ids;
  }

  private ObjectNode await(EntryClient entry, String id, ObjectNode first, Countdown countdown)
      throws LovagerackException {
    ObjectNode status = first;
    while (JobView.running(status) && !countdown.over()) {
      countdown.pause(POLL_PERIOD);
      status = entry.call(statusCall(id, countdown));
    }
    return status;
  }

  private static Result describe(String id, ObjectNode status, Duration wait) {
    Result result = JobView.result(status);
    return wait.isZero() || !JobView.running(status)
        ? result
        : result.withFailure(
            Failure.mayHaveRun(
                ErrorKind.DEADLINE_EXCEEDED,
                "still running after %d s; ask again with: lovagerack job %s"
                    .formatted(wait.toSeconds(), id)));
  }

  private static EntryCall statusCall(String id, Countdown countdown) {
    EntryCall call = EntryCall.of(HttpMethod.GET, path(id));
    return countdown.over() ? call : call.waiting(step(countdown));
  }

  /** Returns whole seconds, because the header carries nothing else. */
  private static Duration step(Countdown countdown) {
    Duration left = Duration.ofSeconds(countdown.left().plusMillis(999).toSeconds());
    return left.compareTo(LONGEST_REQUEST) < 0 ? left : LONGEST_REQUEST;
  }

  private static String path(String id) {
    return JOBS + "/" + URLEncoder.encode(id, StandardCharsets.UTF_8);
  }
}
