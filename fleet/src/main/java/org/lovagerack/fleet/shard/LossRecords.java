package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.job.JobProgress;

/**
 * Progress of best-effort jobs that lost runs with their workers. It is kept after the end of the
 * job, so that a task does not crash further workers if the job is submitted again.
 */
final class LossRecords {

  private final Duration retention;
  private final Map<String, JobProgress> records = new HashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param retention time for which a record is kept
   */
  LossRecords(Duration retention) {
    this.retention = retention;
  }

  void put(String jobId, JobProgress progress) {
    records.put(jobId, progress);
  }

  Optional<JobProgress> find(String jobId) {
    return Optional.ofNullable(records.get(jobId));
  }

  /** Removes a record; returns whether there was one. */
  boolean remove(String jobId) {
    return records.remove(jobId) != null;
  }

  /** Removes up to {@code limit} records that have expired and returns their jobs. */
  List<String> removeExpired(long nowMillis, int limit) {
    long oldest = nowMillis - retention.toMillis();
    List<String> expired = new ArrayList<>();
    records.forEach(
        (jobId, progress) -> {
          if (progress.storedAtMillis() < oldest && expired.size() < limit) {
            expired.add(jobId);
          }
        });
    expired.forEach(records::remove);
    return expired;
  }
}
