package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/** Subcommands that publish release notes and show the revision in force. */
final class NoteCommands {

  static final String DEPLOYMENT = "deployment";

  private static final Duration POLL_PERIOD = Duration.ofMillis(500);
  private static final String REVISION = "revision";
  private static final String BEHIND = "behind";
  private static final String UNREACHABLE = "unreachable";

  private final WaitClock clock;

  NoteCommands(WaitClock clock) {
    this.clock = clock;
  }

  /** Publishes a note. Its unique note id makes a repeated publication harmless. */
  Result publish(EntryClient entry, Namespace options) throws LovagerackException {
    ObjectNode published =
        entry.call(EntryCall.post("/v1/operator/notes", InputFile.read(options)));
    long revision = published.path(REVISION).asLong();
    String text =
        "revision %d%s%n"
            .formatted(
                revision, published.path("repeated").asBoolean() ? " (published before)" : "");
    Duration wait = Options.wait(options);
    Result accepted = Result.of(text, published);
    return wait.isZero()
        ? accepted
        : awaitInForce(entry, accepted, revision, new Deadline(clock, wait));
  }

  Result inForce(EntryClient entry, Namespace options) throws LovagerackException {
    ObjectNode answer = read(entry);
    List<EntryVmState> states = EntryVmState.readAll(answer);
    long revision = answer.path(REVISION).asLong();
    List<String> behind = EntryVmState.addressesBehind(states, revision);
    String text =
        "revision %d %s%n"
            .formatted(
                revision,
                behind.isEmpty()
                    ? "is in force on every entry VM that is reachable"
                    : "is not in force on " + String.join(", ", behind));
    text += EntryVmState.table(states);
    if (options.getBoolean(DEPLOYMENT)) {
      text += answer.path(DEPLOYMENT).toPrettyString() + System.lineSeparator();
    } else {
      answer.remove(DEPLOYMENT);
    }
    return Result.of(text, answer);
  }

  private Result awaitInForce(EntryClient entry, Result accepted, long revision, Deadline deadline)
      throws LovagerackException {
    while (true) {
      Optional<List<EntryVmState>> states = tryRead(entry);
      boolean everywhere =
          states.isPresent() && EntryVmState.addressesBehind(states.get(), revision).isEmpty();
      if (everywhere || deadline.expired()) {
        return describe(accepted, revision, everywhere, states.orElse(List.of()));
      }
      deadline.pause(POLL_PERIOD);
    }
  }

  /** Returns empty if the read fails, so that the caller retries: the note is already accepted. */
  private static Optional<List<EntryVmState>> tryRead(EntryClient entry) {
    try {
      return Optional.of(EntryVmState.readAll(read(entry)));
    } catch (LovagerackException e) {
      return Optional.empty();
    }
  }

  private static Result describe(
      Result accepted, long revision, boolean everywhere, List<EntryVmState> states) {
    List<String> behind = EntryVmState.addressesBehind(states, revision);
    List<String> unreachable = EntryVmState.unreachableAddresses(states);
    ObjectNode json = accepted.json();
    json.put("inForce", everywhere);
    json.set(BEHIND, Json.array(behind));
    json.set(UNREACHABLE, Json.array(unreachable));
    String text = accepted.text();
    if (everywhere) {
      text += "in force on every entry VM that is reachable%n".formatted();
    }
    if (!unreachable.isEmpty()) {
      text += "unreachable: %s%n".formatted(String.join(", ", unreachable));
    }
    Result result = Result.of(text, json);
    return everywhere ? result : result.withFailure(notInForceFailure(revision, behind));
  }

  private static Failure notInForceFailure(long revision, List<String> behind) {
    String where =
        behind.isEmpty()
            ? "whether it is in force could not be read"
            : "it is not in force on " + String.join(", ", behind);
    return new Failure(
        ErrorKind.DEADLINE_EXCEEDED,
        RunOutcome.RAN,
        "the note was accepted as revision %d, but %s".formatted(revision, where),
        Optional.empty());
  }

  private static ObjectNode read(EntryClient entry) throws LovagerackException {
    return entry.call(EntryCall.withoutBody(HttpMethod.GET, "/v1/operator/in-force"));
  }
}
