package org.lovagerack.fleet.shard;

/**
 * Blocks the tasks of recovered jobs until every run that a former owner started is either known or
 * has certainly ended.
 */
final class RecoveryGate {

  private boolean open;

  boolean isOpen() {
    return open;
  }

  void open() {
    open = true;
  }

  /** Returns whether tasks of a job may start. */
  boolean admits(Job job) {
    return open || !job.recovered();
  }
}
