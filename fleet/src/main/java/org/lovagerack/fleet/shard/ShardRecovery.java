package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.store.ReadOutcome;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/** Reads what former owners stored: durable jobs that have not ended, and lost runs of others. */
final class ShardRecovery {

  /**
   * What former owners stored.
   *
   * @param jobs durable jobs that have not ended
   * @param lossRecords progress of best-effort jobs that lost runs, keyed by job
   */
  record Stored(List<Job> jobs, Map<String, JobProgress> lossRecords) {
    static final Stored NOTHING = new Stored(List.of(), Map.of());
  }

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration READ_RETRY_DELAY = Duration.ofMillis(100);

  private static final EventLog LOG = new EventLog(ShardRecovery.class);

  private final TimerService timer;
  private final RowStore store;
  private final ShardRows rows;
  private final long token;
  private final BooleanSupplier cancelled;

  /**
   * Creates a recovery.
   *
   * @param token token of the current owner
   * @param cancelled returns whether recovery has been cancelled
   */
  ShardRecovery(
      TimerService timer, RowStore store, ShardRows rows, long token, BooleanSupplier cancelled) {
    this.timer = timer;
    this.store = store;
    this.rows = rows;
    this.token = token;
    this.cancelled = cancelled;
  }

  /**
   * Reads all jobs and retries failed reads until they succeed. Both tables are read concurrently
   * because only the current owner writes to them.
   */
  void read(Consumer<Stored> callback) {
    List<StoredRow> jobRows = new ArrayList<>();
    List<StoredRow> progressRows = new ArrayList<>();
    int[] tablesLeft = {2};
    Runnable tableRead =
        () -> {
          tablesLeft[0]--;
          if (tablesLeft[0] == 0) {
            callback.accept(decode(jobRows, progressRows));
          }
        };
    readAll(rows.jobTable(), "", jobRows, tableRead);
    readAll(rows.progressTable(), "", progressRows, tableRead);
  }

  private void readAll(String table, String from, List<StoredRow> found, Runnable next) {
    store.read(
        table,
        rows.partition(),
        from,
        RowStore.MAX_PAGE_ROWS,
        READ_TIMEOUT,
        outcome -> {
          if (cancelled.getAsBoolean()) {
            return;
          }
          if (outcome instanceof ReadOutcome.Rows page) {
            found.addAll(page.rows());
            if (page.more()) {
              readAll(table, page.nextPageStart(), found, next);
            } else {
              next.run();
            }
          } else {
            LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "table", table, "outcome", outcome);
            timer.after(READ_RETRY_DELAY, () -> readAll(table, from, found, next));
          }
        });
  }

  private Stored decode(List<StoredRow> jobRows, List<StoredRow> progressRows) {
    Map<String, Job> jobs = new HashMap<>();
    for (StoredRow row : jobRows) {
      try {
        SubmittedJob submitted = JobCodec.decodeJob(row.value());
        jobs.put(submitted.id(), new Job(submitted, timer.nanoTime(), token, true, false));
      } catch (MalformedRecordException | RuntimeException e) {
        LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      }
    }
    Map<String, JobProgress> lossRecords = new HashMap<>();
    for (StoredRow row : progressRows) {
      Job job = jobs.get(row.key().key());
      try {
        JobProgress progress = JobCodec.decodeProgress(row.value());
        if (job == null) {
          lossRecords.put(row.key().key(), progress);
        } else {
          job.restore(progress, timer.nanoTime());
        }
      } catch (MalformedRecordException | RuntimeException e) {
        LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      }
    }
    return new Stored(List.copyOf(jobs.values()), lossRecords);
  }
}
