package org.lovagerack.fleet.job;

/**
 * Where the tasks of a durable job run. The shard that accepted the job answers its callers in any
 * case. It transfers the job to another shard while only workers of that shard can run its tasks.
 */
public sealed interface JobSite {

  /** Site of a job that was never transferred. */
  JobSite ORIGIN = new Home(0, 1);

  /** Returns how often the job has been transferred. */
  int transfers();

  /** Returns the lowest run number of the shard's first owner; runs elsewhere had lower ones. */
  int firstRun();

  /**
   * The shard that accepted the job runs its tasks.
   *
   * @param transfers number of transfers so far
   * @param firstRun lowest run number
   */
  record Home(int transfers, int firstRun) implements JobSite {}

  /**
   * Another shard runs the tasks.
   *
   * @param hostShard index of that shard
   * @param transfers number of transfers, this one included
   * @param firstRun lowest run number
   */
  record Transferred(int hostShard, int transfers, int firstRun) implements JobSite {}

  /**
   * The job was accepted by another shard and is run here.
   *
   * @param transfers number of transfers, this one included
   * @param firstRun lowest run number
   */
  record Hosted(int transfers, int firstRun) implements JobSite {}
}
