package org.lovagerack.fleet.job;

/** State of an accepted job. */
public enum JobState {
  QUEUED(false),
  RUNNING(false),
  COMPLETED(true),
  FAILED(true),
  CANCELLED(true);

  private final boolean ended;

  JobState(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the state is final. */
  public boolean ended() {
    return ended;
  }
}
