package org.lovagerack.dispatch;

/** Sends attempts to upstreams over pooled connections. */
public interface UpstreamTransport {

  /**
   * Starts an attempt. The listener is called later on the event loop, never from within this call.
   */
  Attempt start(AttemptRequest request, AttemptListener listener);

  /** Sets the largest number of connections to an upstream; closes the pool if it is 0. */
  void limitConnections(String upstream, int connections);

  /** Closes idle connections to an upstream, because they are suspected to be silent. */
  void closeIdleConnections(String upstream);
}
