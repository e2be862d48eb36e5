package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.store.TableFollower;

/** Updates the worker directory while it has at least one user. */
public final class WorkerFeed {

  private final WorkerDirectory directory;
  private final TableFollower follower;
  private int users;

  /**
   * Creates a feed without users.
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

  /** Returns whether the list has been read as a whole since the first of the present users. */
  public boolean loaded() {
    return follower.loaded();
  }

  /** Adds a user of the feed; the first one starts the follower. */
  public void acquire() {
    users++;
    if (users == 1) {
      follower.start();
    }
  }

  /** Removes a user of the feed; the last one stops the follower. */
  public void release() {
    users--;
    if (users == 0) {
      follower.stop();
    }
  }
}
