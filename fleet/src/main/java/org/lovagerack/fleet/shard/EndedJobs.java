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

/** Ended jobs that this owner remembers, so that late duplicates and questions find their end. */
final class EndedJobs {

  /**
   * Time for which the end of a job that is not stored answers duplicates; they come in seconds.
   */
  private static final Duration UNSTORED_RETENTION = Duration.ofSeconds(15);

  private static final EventLog LOG = new EventLog(EndedJobs.class);

  private final Duration storedRetention;
  private final Map<String, EndedJob> stored = new HashMap<>();
  private final Map<String, EndedJob> unstored = new HashMap<>();

  /**
   * Creates an empty memory.
   *
   * @param storedRetention time for which the end of a stored job is kept
   */
  EndedJobs(Duration storedRetention) {
    this.storedRetention = storedRetention;
  }

  void putStored(String jobId, EndedJob end) {
    stored.put(jobId, end);
  }

  /** Takes the stored row of an end; one that cannot be read is passed over. */
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

  /** Forgets jobs that are not stored and whose time is over. */
  void forgetUnstored(long nowMillis) {
    long limit = nowMillis - UNSTORED_RETENTION.toMillis();
    unstored.values().removeIf(end -> end.endedAtMillis() < limit);
  }

  /** Forgets up to {@code limit} stored jobs whose time is over, and returns their identifiers. */
  List<String> takeExpired(long nowMillis, int limit) {
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
