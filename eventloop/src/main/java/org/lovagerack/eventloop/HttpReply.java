package org.lovagerack.eventloop;

import io.vertx.core.buffer.Buffer;

/** Result of an HTTP call. */
public sealed interface HttpReply {

  /**
   * The complete response was received.
   *
   * @param status HTTP status
   * @param body body, possibly empty
   */
  record Response(int status, Buffer body) implements HttpReply {}

  /**
   * The request was not sent.
   *
   * @param reason cause of the failure
   */
  record NotSent(String reason) implements HttpReply {}

  /**
   * The request was sent, but no complete response arrived.
   *
   * @param reason cause of the failure
   */
  record NoResponse(String reason) implements HttpReply {}
}
