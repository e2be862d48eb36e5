package org.lovagerack.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Reads the HTTP responses of entry VMs. */
final class EntryResponseReader {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;

  private EntryResponseReader() {}

  /**
   * Returns the JSON object of a successful response.
   *
   * @throws LovagerackException with the failure that any other response reports
   */
  static ObjectNode read(EntryAddress address, EntryCallResult.Answered answer)
      throws LovagerackException {
    boolean successful = answer.status() >= FIRST_SUCCESS && answer.status() < FIRST_REDIRECT;
    if (!(parse(answer.body()) instanceof ObjectNode node)) {
      throw unexpected(address, answer);
    }
    if (successful) {
      return node;
    }
    throw node.has(ProblemDetails.KIND)
        ? new LovagerackException(ProblemDetails.read(node))
        : unexpected(address, answer);
  }

  private static JsonNode parse(String body) {
    try {
      return Json.MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return Json.MAPPER.missingNode();
    }
  }

  private static LovagerackException unexpected(
      EntryAddress address, EntryCallResult.Answered answer) {
    return new LovagerackException(
        Failure.mayHaveRun(
            ErrorKind.INTERNAL,
            "%s answered with status %d and %d characters that are neither a result nor a problem"
                .formatted(address, answer.status(), answer.body().length())));
  }
}
