package org.lovagerack.fleet.worker;

/** What is known about a request after a call to a worker. */
public sealed interface RequestOutcome {

  /**
   * The worker performed the request.
   *
   * @param clockMillis time on the worker's clock, milliseconds
   */
  record Done(long clockMillis) implements RequestOutcome {}

  /**
   * The request was rejected and had no effect.
   *
   * @param reason reason of the rejection
   * @param detail status or reason as received
   */
  record Rejected(Reason reason, String detail) implements RequestOutcome {}

  /**
   * The worker may have performed the request, or may still perform it.
   *
   * @param detail description of the failure
   */
  record Unknown(String detail) implements RequestOutcome {}

  /** Reason why a worker rejects a request. */
  enum Reason {
    /** The worker has received a higher fencing token. */
    FENCED,
    /** The run is not newer than one that ended or was stopped there. */
    SUPERSEDED,
    /** The request's deadline has passed on the worker's clock. */
    EXPIRED,
    /** The worker has no free capacity for the task. */
    NO_ROOM,
    /** Another incarnation of the worker answers at the address. */
    OTHER_INCARNATION,
    /** The worker is unhealthy, shutting down, or cannot be connected to. */
    UNAVAILABLE,
    /** The worker considers the request malformed. */
    MALFORMED
  }
}
