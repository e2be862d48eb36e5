package org.lovagerack.fleet.shard;

/**
 * Blocks the tasks of recovered jobs until every run that a former owner started is either known or
 * certainly over.
 */
final class RecoveryGate {

  private boolean open;

  boolean isOpen() {
    return open;
  }

  void open() {
    open = true;
  }

  /** Returns whether the gate lets tasks of a job start. */
  boolean admits(Job job) {
    return open || !job.recovered();
  }
}
