package org.lovagerack.fleet.job;

/**
 * A run that ended because its worker stopped answering.
 *
 * @param worker identifier of the worker
 * @param address IP number and port of the worker
 * @param incarnation start time of the worker's process, Unix milliseconds; 0 if it is not known
 * @param confirmed whether the worker is known to have executed the run
 * @param crashed whether the worker's process is known to have ended; otherwise, the worker may
 *     have been cut off
 */
public record LostRun(
    String worker, String address, long incarnation, boolean confirmed, boolean crashed) {

  /** Returns a copy whose worker has crashed. */
  public LostRun asCrash() {
    return new LostRun(worker, address, incarnation, confirmed, true);
  }
}
