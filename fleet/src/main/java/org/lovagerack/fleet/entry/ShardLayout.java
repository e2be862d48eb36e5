package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.lovagerack.fleet.store.CommitOutcome;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.RowTransaction;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.worker.WorkerFeed;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Determines the number of shards. The first entry VM of a fleet computes it from the number of
 * workers and stores it. It does not change afterwards, because the shard of a durable job depends
 * on it.
 */
final class ShardLayout {

  private static final RowKey ROW = new RowKey("lovagerack-layout", "", "shards");

  /**
   * Workers register one after the other. The list counts as complete when its size has not changed
   * for this long.
   */
  private static final Duration WORKERS_SETTLED_AFTER = Duration.ofSeconds(2);

  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
  private static final Duration TIMEOUT = Duration.ofMillis(800);
  private static final int MAX_SHARDS = 4096;

  private static final EventLog LOG = new EventLog(ShardLayout.class);

  private final TimerService timer;
  private final RowStore store;
  private final WorkerFeed workers;
  private final int workersPerShard;
  private int lastCount;
  private long lastChangeNanos;

  /**
   * Creates a layout whose number of shards is not determined yet.
   *
   * @param workersPerShard number of workers for each owner to manage
   */
  ShardLayout(TimerService timer, RowStore store, WorkerFeed workers, int workersPerShard) {
    this.timer = timer;
    this.store = store;
    this.workers = workers;
    this.workersPerShard = workersPerShard;
  }

  /** Reads the number of shards, or decides it; retries until it succeeds. */
  void resolve(IntConsumer callback) {
    read(
        stored -> {
          if (stored.isPresent()) {
            callback.accept(stored.get());
          } else {
            workers.acquire();
            lastChangeNanos = timer.nanoTime();
            waitForWorkers(
                shards -> {
                  workers.release();
                  callback.accept(shards);
                });
          }
        });
  }

  private void read(Consumer<Optional<Integer>> callback) {
    store.readRow(
        ROW,
        TIMEOUT,
        stored -> callback.accept(stored.flatMap(ShardLayout::decode)),
        outcome -> {
          LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "row", ROW, "outcome", outcome);
          timer.after(POLL_INTERVAL, () -> read(callback));
        });
  }

  private static Optional<Integer> decode(StoredRow row) {
    try {
      int shards = Integer.parseInt(row.value().toText());
      if (shards >= 1 && shards <= MAX_SHARDS) {
        return Optional.of(shards);
      }
      throw new NumberFormatException("shard count out of range: " + shards);
    } catch (NumberFormatException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", ROW);
      return Optional.empty();
    }
  }

  private void waitForWorkers(IntConsumer callback) {
    int count = workers.directory().entries().size();
    if (count != lastCount) {
      lastCount = count;
      lastChangeNanos = timer.nanoTime();
    }
    boolean settled = timer.nanoTime() - lastChangeNanos >= WORKERS_SETTLED_AFTER.toNanos();
    if (count > 0 && settled) {
      write(Math.clamp(Math.round((float) count / workersPerShard), 1, MAX_SHARDS), callback);
    } else {
      timer.after(
          POLL_INTERVAL,
          () ->
              read(
                  stored ->
                      stored.ifPresentOrElse(callback::accept, () -> waitForWorkers(callback))));
    }
  }

  private void write(int shards, IntConsumer callback) {
    store.commit(
        new RowTransaction(
            List.of(new RowCondition(ROW, RowCondition.ABSENT)),
            List.of(new RowWrite(ROW, Bytes.ofText(Integer.toString(shards)))),
            List.of()),
        TIMEOUT,
        outcome -> {
          if (outcome instanceof CommitOutcome.Committed) {
            LOG.write(LogEvent.SHARDS_DECIDED, "shards", shards, "workers", lastCount);
            callback.accept(shards);
          } else {
            // Another VM may have stored a number, or this transaction may still be applied.
            timer.after(
                POLL_INTERVAL,
                () ->
                    read(
                        stored ->
                            stored.ifPresentOrElse(
                                callback::accept, () -> write(shards, callback))));
          }
        });
  }
}
