package org.lovagerack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Problem details (RFC 9457) in the answers of entry VMs. */
final class ProblemDetails {

  static final String KIND = "kind";

  private static final String DETAIL = "detail";
  private static final String OUTCOME = "outcome";
  private static final String RETRY_AFTER = "retryAfterMillis";

  private ProblemDetails() {}

  /** Reads a problem; kinds and outcomes that this version does not know go into the detail. */
  static Failure read(JsonNode node) {
    String kindName = node.path(KIND).asText();
    String outcomeName = node.path(OUTCOME).asText();
    Optional<ErrorKind> kind =
        Arrays.stream(ErrorKind.values())
            .filter(candidate -> candidate.wireName().equals(kindName))
            .findFirst();
    RunOutcome outcome =
        Arrays.stream(RunOutcome.values())
            .filter(candidate -> candidate.wireName().equals(outcomeName))
            .findFirst()
            .orElse(RunOutcome.MAY_HAVE_RUN);
    String detail = node.path(DETAIL).asText();
    if (kind.isEmpty() || (kind.get().guaranteesNotRun() && outcome == RunOutcome.RAN)) {
      return Failure.mayHaveRun(
          ErrorKind.INTERNAL,
          "unknown problem %s with outcome %s: %s".formatted(kindName, outcomeName, detail));
    }
    return new Failure(kind.get(), outcome, detail, retryAfter(node));
  }

  static ObjectNode write(Failure failure) {
    ObjectNode node = Json.object();
    node.put(KIND, failure.kind().wireName());
    node.put("title", failure.kind().title());
    node.put(DETAIL, failure.detail());
    node.put(OUTCOME, failure.outcome().wireName());
    failure.retryAfter().ifPresent(delay -> node.put(RETRY_AFTER, delay.toMillis()));
    return node;
  }

  static String text(Failure failure) {
    String text =
        "lovagerack: %s (%s)%n  detail:  %s%n  outcome: %s%n"
            .formatted(
                failure.kind().title(),
                failure.kind().wireName(),
                failure.detail(),
                failure.outcome().wireName());
    return failure
        .retryAfter()
        .map(delay -> text + "  retry after %d ms%n".formatted(delay.toMillis()))
        .orElse(text);
  }

  private static Optional<Duration> retryAfter(JsonNode node) {
    return node.path(RETRY_AFTER).canConvertToLong()
        ? Optional.of(Duration.ofMillis(node.get(RETRY_AFTER).longValue()))
        : Optional.empty();
  }
}
