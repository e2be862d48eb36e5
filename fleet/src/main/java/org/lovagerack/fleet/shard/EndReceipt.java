package org.lovagerack.fleet.shard;

/**
 * An end that its worker lists until it is acknowledged.
 *
 * @param worker the worker
 * @param incarnation incarnation of the worker that lists it
 * @param number number of the end
 */
record EndReceipt(WorkerLink worker, long incarnation, long number) {

  /** Allows the worker to forget the end. */
  void settle() {
    worker.settle(incarnation, number);
  }
}
