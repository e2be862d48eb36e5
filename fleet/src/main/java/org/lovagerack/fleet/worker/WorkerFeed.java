package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.store.TableFollower;

/** Follows the directory of workers while somebody needs it. */
public final class WorkerFeed {

  private final WorkerDirectory directory;
  private final TableFollower follower;
  private int users;

  /**
   * Creates a feed that nobody uses yet.
   *
   * @param directory directory that the follower fills
   */
  public WorkerFeed(WorkerDirectory directory, TableFollower follower) {
    this.directory = directory;
    this.follower = follower;
  }

  /** Returns the directory; its contents are current only while the feed is in use. */
  public WorkerDirectory directory() {
    return directory;
  }

  /** Starts to use the feed. */
  public void acquire() {
    users++;
    if (users == 1) {
      follower.start();
    }
  }

  /** Ends a use of the feed. */
  public void release() {
    users--;
    if (users == 0) {
      follower.stop();
    }
  }
}
