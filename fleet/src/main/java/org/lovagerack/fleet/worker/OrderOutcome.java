package org.lovagerack.fleet.worker;

/** What is known about an order after a call to a worker. */
public sealed interface OrderOutcome {

  /**
   * The order was carried out.
   *
   * @param clockMillis worker's own clock, milliseconds
   */
  record Done(long clockMillis) implements OrderOutcome {}

  /**
   * The order was rejected, and nothing was done.
   *
   * @param reason why
   * @param detail status or reason as received
   */
  record Rejected(Reason reason, String detail) implements OrderOutcome {}

  /**
   * The order may have been carried out, or may still be.
   *
   * @param detail what went wrong
   */
  record Unknown(String detail) implements OrderOutcome {}

  /** Why a worker rejects an order. */
  enum Reason {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The run is not newer than one that ended or was stopped there. */
    SUPERSEDED,
    /** The order's deadline has passed on the worker's clock. */
    EXPIRED,
    /** The worker has no room for the task. */
    NO_ROOM,
    /** Another incarnation answers at the address. */
    OTHER_INCARNATION,
    /** The worker is unhealthy, leaving, or cannot be connected to. */
    UNAVAILABLE,
    /** The worker considers the order malformed. */
    MALFORMED
  }
}
