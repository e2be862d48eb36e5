package org.lovagerack.eventloop.server;

import java.util.Locale;

/** Limit that made a port close a connection or refuse a request. */
public enum PortLimit {
  CONNECTIONS,
  MEMORY,
  PIPELINED_REQUESTS,
  BODY_BYTES,
  HEADER_TIMEOUT,
  BODY_TIMEOUT,
  WRITE_TIMEOUT,
  IDLE_TIMEOUT;

  /** Returns the name used in metrics and log lines. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
