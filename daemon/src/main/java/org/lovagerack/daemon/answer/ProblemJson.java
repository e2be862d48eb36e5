package org.lovagerack.daemon.answer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** Encodes failures as problem details (RFC 9457). */
public final class ProblemJson {

  /** Media type of problem details. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  private ProblemJson() {}

  /** Returns the problem as a JSON object. */
  public static ObjectNode node(Failure failure) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("type", "urn:lovagerack:error:" + failure.kind().wireName());
    node.put("title", failure.kind().title());
    node.put("status", failure.kind().httpStatus());
    node.put("detail", failure.detail());
    node.put("kind", failure.kind().wireName());
    node.put("outcome", failure.outcome().wireName());
    failure.retryAfter().ifPresent(delay -> node.put("retryAfterMillis", delay.toMillis()));
    return node;
  }

  /**
   * Returns an answer with the HTTP status of the failure, and Retry-After if the failure has one.
   */
  public static Answer answer(Failure failure) {
    Map<String, String> headers = new HashMap<>();
    headers.put(Answer.CONTENT_TYPE, MEDIA_TYPE);
    failure
        .retryAfter()
        .ifPresent(
            delay ->
                headers.put(
                    "Retry-After",
                    Long.toString(Math.max(1, Math.ceilDiv(delay.toMillis(), MILLIS_PER_SECOND)))));
    return new Answer(failure.kind().httpStatus(), headers, Bytes.ofText(node(failure).toString()));
  }
}
