package org.lovagerack.fleet.shard;

/**
 * Holds back the tasks of jobs that an earlier owner accepted, until no run of theirs can be at
 * work unseen.
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
