package org.lovagerack.fleet.job;

/**
 * A run that ended because its worker stopped answering.
 *
 * @param worker identifier of the worker
 * @param address IP number and port of the worker
 * @param incarnation start time of the worker's process, Unix milliseconds; 0 if it is not known
 * @param cause what is known about the worker
 */
public record LostRun(String worker, String address, long incarnation, Cause cause) {

  /** What is known about the worker of a lost run. */
  public enum Cause {
    /** It is not known whether the worker executed the run. */
    UNCONFIRMED,
    /** The worker executed the run; it may have crashed or been cut off. */
    UNRESPONSIVE,
    /** The worker executed the run and its process ended. */
    CRASH
  }

  /** Returns a copy whose cause is a crash. */
  public LostRun asCrash() {
    return new LostRun(worker, address, incarnation, Cause.CRASH);
  }
}
