package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerFeed;

/** A shard that this process owns, with its log and its controller. */
public final class OwnedShard {

  private final ShardLog log;
  private final ShardController controller;
  private final WorkerFeed workers;
  private final LeaseRecord lease;
  private Runnable lossListener = () -> {};

  OwnedShard(
      OwnedShardFactory dependencies,
      ShardRows rows,
      LeaseRecord lease,
      long leaseVersion,
      LeaseClock.Timestamp takenOverAt) {
    this.workers = dependencies.workers();
    this.lease = lease;
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
        new ShardController(
            dependencies, rows, log, dependencies.workers().directory(), workers::loaded);
    log.setTokenRaisedListener(controller::tokenRaised);
  }

  /**
   * Starts serving the shard.
   *
   * @param former workers that former owners may have used
   * @param onLost called once when another process has taken over the shard
   */
  public void start(FormerWorkers former, Runnable onLost) {
    lossListener = onLost;
    workers.acquire();
    controller.start(former);
  }

  /** Returns the fencing token. */
  public long token() {
    return log.token();
  }

  /** Returns the lease with which the term began. */
  public LeaseRecord lease() {
    return lease;
  }

  /** Returns the workers that this owner may use, for the next owner. */
  public FormerWorkers workers() {
    return new FormerWorkers(
        Stream.concat(listedWorkers().stream(), unlistedWorkers().stream()).toList(),
        knowsAllWorkers());
  }

  /** Returns the listed workers of the shard. */
  public Collection<WorkerEntry> listedWorkers() {
    return controller.workers(true);
  }

  /** Returns the workers of the shard that are not listed but may still have active runs. */
  public Collection<WorkerEntry> unlistedWorkers() {
    return controller.workers(false);
  }

  /** Returns whether no worker beside those of the shard can have active runs of its jobs. */
  public boolean knowsAllWorkers() {
    return controller.knowsAllWorkers();
  }

  /** Returns a number that grows when the workers or {@link #knowsAllWorkers} change. */
  public long workersVersion() {
    return controller.workersVersion();
  }

  /** Returns whether the jobs that former owners stored have been read. */
  public boolean ready() {
    return controller.ready();
  }

  /**
   * Returns the load of each service; empty until the workers have reported.
   *
   * @param shard index of the shard
   */
  public List<ShardLoad> loads(int shard) {
    return controller.loads(shard);
  }

  /** Returns the service for the shard's jobs. */
  public JobService jobs() {
    return controller;
  }

  /** Returns the service for jobs of other shards. */
  public JobHost host() {
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
