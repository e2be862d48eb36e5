package org.lovagerack.eventloop.server;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Decoder that rejects a request with too many header fields while it reads them: a parsed field
 * takes many times the memory of the shortest field.
 */
final class BoundedRequestDecoder extends VertxHttpRequestDecoder {

  private final int maxFields;
  private int fields;

  BoundedRequestDecoder(HttpServerOptions options, int maxFields) {
    super(options);
    this.maxFields = maxFields;
  }

  /** Returns the number of header fields of the request that is being read or was read last. */
  int fields() {
    return fields;
  }

  /** Starts to count anew, for the next request. */
  void resetFields() {
    fields = 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    fields = 0;
    return super.createMessage(initialLine);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    fields++;
    if (fields > maxFields) {
      throw new TooLongHttpHeaderException("more than " + maxFields + " header fields");
    }
    return super.splitHeaderName(line, start, length);
  }
}
