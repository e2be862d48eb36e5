package org.lovagerack.daemon.http;

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

  static final String CONTENT_TYPE = "Content-Type";
  static final String JSON = "application/json";

  public Answer {
    headers = Map.copyOf(headers);
  }

  static Answer json(int status, String body) {
    return new Answer(status, Map.of(CONTENT_TYPE, JSON), Bytes.ofText(body));
  }
}
