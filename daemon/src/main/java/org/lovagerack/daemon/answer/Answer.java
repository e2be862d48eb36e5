package org.lovagerack.daemon.answer;

import java.util.Map;
import org.lovagerack.foundation.data.Bytes;

/**
 * An answer to a caller, an operator or a forwarding peer.
 *
 * @param status HTTP status
 * @param headers headers besides the length
 * @param body JSON body
 */
public record Answer(int status, Map<String, String> headers, Bytes body) {

  /** Name of the header with the media type. */
  public static final String CONTENT_TYPE = "Content-Type";

  /** Media type of JSON. */
  public static final String JSON = "application/json";

  public Answer {
    headers = Map.copyOf(headers);
  }

  /** Returns an answer with a JSON body. */
  public static Answer json(int status, String body) {
    return new Answer(status, Map.of(CONTENT_TYPE, JSON), Bytes.ofText(body));
  }
}
