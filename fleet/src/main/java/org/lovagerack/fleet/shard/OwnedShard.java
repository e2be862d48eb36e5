package org.lovagerack.fleet.shard;

import java.util.Collection;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerFeed;

/** A shard that this process owns, with its log and its controller. */
public final class OwnedShard {

  private final ShardLog log;
  private final ShardController controller;
  private final WorkerFeed workers;
  private Runnable lossListener = () -> {};

  OwnedShard(
      OwnedShardFactory dependencies,
      ShardRows rows,
      LeaseRecord lease,
      long leaseVersion,
      LeaseClock.Timestamp takenOverAt) {
    this.workers = dependencies.workers();
    this.log =
        new ShardLog(
            dependencies.timer(),
            dependencies.clock(),
            dependencies.store(),
            rows,
            lease,
            leaseVersion,
            takenOverAt,
            () -> lossListener.run());
    this.controller =
        new ShardController(dependencies, rows, log, dependencies.workers().directory());
    log.setTokenRaisedListener(controller::tokenRaised);
  }

  /**
   * Starts serving the shard.
   *
   * @param known workers that a former owner may have used, whether or not they are still listed
   * @param onLost called once when another process has taken over the shard
   */
  public void start(Collection<WorkerEntry> known, Runnable onLost) {
    lossListener = onLost;
    workers.acquire();
    controller.start(known);
  }

  /** Returns the fencing token. */
  public long token() {
    return log.token();
  }

  /** Returns whether the jobs that former owners stored have been read. */
  public boolean ready() {
    return controller.ready();
  }

  /** Returns the service for the shard's jobs. */
  public JobService jobs() {
    return controller;
  }

  /** Commits pending entries and releases the shard. */
  public void release(Runnable callback) {
    log.release(callback);
  }

  /** Stops all activity immediately. */
  public void close() {
    controller.close();
    workers.release();
  }
}
