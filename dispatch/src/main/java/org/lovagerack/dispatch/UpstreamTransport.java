package org.lovagerack.dispatch;

/** Sends attempts to upstreams over a connection pool for each upstream. */
public interface UpstreamTransport {

  /**
   * Starts an attempt. The listener is called asynchronously on the event loop, never from within
   * this call.
   */
  Attempt start(AttemptRequest request, AttemptListener listener);

  /** Sets the maximum number of connections to an upstream; 0 closes the pool. */
  void limitConnections(String upstream, int connections);

  /** Closes the idle connections to an upstream, because they may be unresponsive. */
  void closeIdleConnections(String upstream);
}
