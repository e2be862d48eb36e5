package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.EndedJob;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Reads the state of a job from the store when the owner of its shard cannot be reached. */
final class DurableJobReader {

  private static final Duration TIMEOUT = Duration.ofMillis(800);
  private static final EventLog LOG = new EventLog(DurableJobReader.class);

  private final RowStore store;

  DurableJobReader(RowStore store) {
    this.store = store;
  }

  /** Reads the state of a job; a job that has not ended is reported as running. */
  void state(ShardRows rows, String jobId, Consumer<JobAnswer> callback) {
    // One transaction replaces the row of a job by the row of its final state. Reading the row of
    // the job first therefore never misses both.
    read(
        rows.job(jobId),
        callback,
        jobRow -> callback.accept(new JobAnswer.State(JobState.RUNNING)),
        () ->
            read(
                rows.ended(jobId),
                callback,
                endedRow -> callback.accept(ended(endedRow)),
                () -> callback.accept(new JobAnswer.UnknownJob())));
  }

  private void read(
      RowKey key, Consumer<JobAnswer> callback, Consumer<StoredRow> found, Runnable absent) {
    store.readRow(
        key,
        TIMEOUT,
        row -> row.ifPresentOrElse(found, absent),
        outcome -> callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE)));
  }

  private static JobAnswer ended(StoredRow row) {
    try {
      EndedJob record = JobCodec.decodeEnded(row.value());
      return new JobAnswer.State(record.state());
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      return new JobAnswer.Unresolved(ErrorKind.INTERNAL);
    }
  }
}
