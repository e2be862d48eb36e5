package org.lovagerack.eventloop;

import io.vertx.core.buffer.Buffer;

/** Result of an HTTP call. */
public sealed interface HttpReply {

  /**
   * A whole response.
   *
   * @param status HTTP status
   * @param body body, possibly empty
   */
  record Response(int status, Buffer body) implements HttpReply {}

  /**
   * Nothing was sent.
   *
   * @param reason why
   */
  record NotSent(String reason) implements HttpReply {}

  /**
   * The request was sent, but no whole response arrived.
   *
   * @param reason why
   */
  record NoResponse(String reason) implements HttpReply {}
}
