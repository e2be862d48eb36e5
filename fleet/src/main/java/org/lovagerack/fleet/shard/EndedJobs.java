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
  private static final Duration UNSTORED_RETENTION = Duration.ofSeconds(15);

  private static final EventLog LOG = new EventLog(EndedJobs.class);

  private final Duration storedRetention;
  private final Map<String, EndedJob> stored = new HashMap<>();
  private final Map<String, EndedJob> unstored = new HashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param storedRetention retention of the final state of a stored job
   */
  EndedJobs(Duration storedRetention) {
    this.storedRetention = storedRetention;
  }

  void putStored(String jobId, EndedJob end) {
    stored.put(jobId, end);
  }

  /** Adds an ended job from its stored row; logs and ignores a malformed row. */
  void putStored(String jobId, StoredRow row) {
    try {
      putStored(jobId, JobCodec.decodeEnded(row.value()));
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
    }
  }

  void putUnstored(String jobId, EndedJob end) {
    unstored.put(jobId, end);
  }

  Optional<JobState> state(String jobId) {
    EndedJob end = stored.getOrDefault(jobId, unstored.get(jobId));
    return Optional.ofNullable(end).map(EndedJob::state);
  }

  /** Removes the jobs that are not stored and whose retention has passed. */
  void removeExpiredUnstored(long nowMillis) {
    long limit = nowMillis - UNSTORED_RETENTION.toMillis();
    unstored.values().removeIf(end -> end.endedAtMillis() < limit);
  }

  /**
   * Removes up to {@code limit} stored jobs whose retention has passed and returns their
   * identifiers.
   */
  List<String> removeExpired(long nowMillis, int limit) {
    long oldest = nowMillis - storedRetention.toMillis();
    List<String> expired = new ArrayList<>();
    stored.forEach(
        (id, end) -> {
          if (end.endedAtMillis() < oldest && expired.size() < limit) {
            expired.add(id);
          }
        });
    expired.forEach(stored::remove);
    return expired;
  }
}
