package org.lovagerack.fleet.shard;

import java.util.Collection;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerFeed;

/** A shard that this process owns: its log and its tenure. */
public final class OwnedShard {

  private final ShardLog log;
  private final ShardTenure tenure;
  private final WorkerFeed workers;
  private Runnable lost = () -> {};

  OwnedShard(
      OwnedShardFactory parts,
      ShardRows rows,
      LeaseRecord lease,
      long leaseVersion,
      LeaseClock.Moment takenAt) {
    this.workers = parts.workers();
    this.log =
        new ShardLog(
            parts.timer(),
            parts.clock(),
            parts.store(),
            rows,
            lease,
            leaseVersion,
            takenAt,
            () -> lost.run());
    this.tenure = new ShardTenure(parts, rows, log, parts.workers().directory());
    log.onTokenRaised(tenure::tokenRaised);
  }

  /**
   * Starts to work for the shard.
   *
   * @param known workers that an earlier owner may have used, whether or not they are listed now
   * @param onLost told once when another process has taken the shard
   */
  public void start(Collection<WorkerEntry> known, Runnable onLost) {
    lost = onLost;
    workers.acquire();
    tenure.start(known);
  }

  /** Returns the fencing token. */
  public long token() {
    return log.token();
  }

  /** Returns whether the jobs of earlier owners are known. */
  public boolean ready() {
    return tenure.ready();
  }

  /** Returns the calls that clients make about the shard's jobs. */
  public JobService jobs() {
    return tenure;
  }

  /** Stores what waits and gives the shard up. */
  public void release(Runnable callback) {
    log.release(callback);
  }

  /** Ends all activity at once. */
  public void close() {
    tenure.close();
    workers.release();
  }
}
