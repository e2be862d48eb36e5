package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.job.EndedJob;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Final states of ended jobs, used to answer duplicate submissions and status requests. */
final class EndedJobs {

  /** Retention of best-effort jobs, which are not stored. Duplicates arrive within seconds. */
  private static final Duration BEST_EFFORT_RETENTION = Duration.ofSeconds(15);

  private static final EventLog LOG = new EventLog(EndedJobs.class);

  private final Duration durableRetention;
  private final Map<String, EndedJob> durable = new HashMap<>();
  private final Map<String, EndedJob> bestEffort = new HashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param durableRetention retention of the final state of a durable job
   */
  EndedJobs(Duration durableRetention) {
    this.durableRetention = durableRetention;
  }

  void putDurable(String jobId, EndedJob end) {
    durable.put(jobId, end);
  }

  /** Adds an ended job from its stored row; logs and ignores a malformed row. */
  void putDurable(String jobId, StoredRow row) {
    try {
      putDurable(jobId, JobCodec.decodeEnded(row.value()));
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
    }
  }

  void putBestEffort(String jobId, EndedJob end) {
    bestEffort.put(jobId, end);
  }

  /** Returns the stored end of a durable job. */
  Optional<EndedJob> find(String key) {
    return Optional.ofNullable(durable.get(key));
  }

  Optional<JobState> state(String jobId) {
    EndedJob end = durable.getOrDefault(jobId, bestEffort.get(jobId));
    return Optional.ofNullable(end).map(EndedJob::state);
  }

  /** Removes the best-effort jobs whose retention has passed. */
  void removeExpiredBestEffort(long nowMillis) {
    long limit = nowMillis - BEST_EFFORT_RETENTION.toMillis();
    bestEffort.values().removeIf(end -> end.endedAtMillis() < limit);
  }

  /**
   * Removes up to {@code limit} durable jobs whose retention has passed and returns their
   * identifiers.
   */
  List<String> removeExpiredDurable(long nowMillis, int limit) {
    long oldest = nowMillis - durableRetention.toMillis();
    List<String> expired = new ArrayList<>();
    durable.forEach(
        (id, end) -> {
          if (end.endedAtMillis() < oldest && expired.size() < limit) {
            expired.add(id);
          }
        });
    expired.forEach(durable::remove);
    return expired;
  }
}
