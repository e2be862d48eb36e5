package org.lovagerack.daemon.answer;

import java.util.Map;
import org.lovagerack.foundation.data.Bytes;

/**
 * An HTTP answer to a caller or an operator, or the answer to a peer that forwarded a request.
 *
 * @param status HTTP status
 * @param headers headers except Content-Length
 * @param body JSON body
 */
public record Answer(int status, Map<String, String> headers, Bytes body) {

  /** Name of the header that carries the media type. */
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
