package org.lovagerack.fleet.shard;

/**
 * The end of a run, which its worker lists in reports until it is acknowledged.
 *
 * @param worker session of the worker
 * @param incarnation incarnation of the worker process that lists it
 * @param number sequence number of the result
 */
record UnacknowledgedResult(WorkerSession worker, long incarnation, long number) {

  /** Allows the worker to discard the result. */
  void acknowledge() {
    worker.acknowledge(incarnation, number);
  }
}
