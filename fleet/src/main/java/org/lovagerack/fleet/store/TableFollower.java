package org.lovagerack.fleet.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Follows the rows of a table. It reads the table once, then waits for changes; when the store has
 * dropped the history that it needs, it reads the table again. A row never goes back to an older
 * version, even when the store answers with old contents.
 */
public final class TableFollower {

  /** Receives rows on the event loop. */
  public interface Listener {

    /** A row is new or has changed. */
    void changed(StoredRow row);

    /** A row is gone. */
    void removed(RowKey key);

    /** The whole table has been read. */
    void loaded();
  }

  /** Bound on one read; a healthy store answers in milliseconds. */
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

  /** First pause after a failure, doubled up to {@link #LONGEST_RETRY}. */
  private static final Duration FIRST_RETRY = Duration.ofMillis(50);

  private static final Duration LONGEST_RETRY = Duration.ofMillis(400);

  private static final EventLog LOG = new EventLog(TableFollower.class);

  private final TimerService timer;
  private final RowStore store;
  private final String table;
  private final List<String> partitions;
  private final Duration wait;
  private final Duration pause;
  private final Listener listener;
  private final Map<RowKey, Long> versions = new HashMap<>();
  private long newestVersion;
  private Duration retry = FIRST_RETRY;
  private boolean unavailable;
  private boolean running;
  private int generation;

  /**
   * Creates a follower that does nothing until {@link #start}.
   *
   * @param partitions partitions of the table
   * @param wait longest time that one call waits for a change
   * @param pause time between two calls, which bounds the calls for a table that changes often
   */
  public TableFollower(
      TimerService timer,
      RowStore store,
      String table,
      List<String> partitions,
      Duration wait,
      Duration pause,
      Listener listener) {
    this.timer = timer;
    this.store = store;
    this.table = table;
    this.partitions = List.copyOf(partitions);
    this.wait = wait;
    this.pause = pause;
    this.listener = listener;
  }

  /** Starts following. */
  public void start() {
    running = true;
    generation++;
    load();
  }

  /** Stops following; no listener is called afterwards. */
  public void stop() {
    running = false;
  }

  private void load() {
    loadPage(0, "", new Loading());
  }

  private void loadPage(int partition, String from, Loading loading) {
    if (partition == partitions.size()) {
      finishLoad(loading);
      return;
    }
    int startedIn = generation;
    store.read(
        table,
        partitions.get(partition),
        from,
        RowStore.PAGE,
        READ_TIMEOUT,
        outcome -> {
          if (!running || generation != startedIn) {
            return;
          }
          switch (outcome) {
            case ReadOutcome.Rows rows -> {
              loading.add(rows);
              if (rows.more()) {
                loadPage(partition, rows.nextFrom(), loading);
              } else {
                loadPage(partition + 1, "", loading);
              }
            }
            case ReadOutcome.HistoryGone gone -> retryLater("history gone", this::load);
            case ReadOutcome.Unavailable failure -> retryLater(failure.reason(), this::load);
          }
        });
  }

  private void finishLoad(Loading loading) {
    if (loading.oldestVersion < newestVersion) {
      retryLater("the store answered with old contents", this::load);
      return;
    }
    answered();
    Set<RowKey> present = new HashSet<>();
    for (StoredRow row : loading.rows) {
      present.add(row.key());
      apply(row);
    }
    for (RowKey key : List.copyOf(versions.keySet())) {
      if (!present.contains(key)) {
        versions.remove(key);
        listener.removed(key);
      }
    }
    newestVersion = loading.oldestVersion;
    listener.loaded();
    watch();
  }

  private void watch() {
    int startedIn = generation;
    store.feed(
        table,
        newestVersion,
        wait,
        outcome -> {
          if (!running || generation != startedIn) {
            return;
          }
          switch (outcome) {
            case ReadOutcome.Rows rows -> {
              answered();
              rows.rows().forEach(this::apply);
              newestVersion = Math.max(newestVersion, rows.version());
              next(this::watch);
            }
            case ReadOutcome.HistoryGone gone -> load();
            case ReadOutcome.Unavailable failure -> retryLater(failure.reason(), this::watch);
          }
        });
  }

  private void next(Runnable action) {
    if (pause.isZero()) {
      action.run();
    } else {
      int startedIn = generation;
      timer.after(pause, () -> runIn(startedIn, action));
    }
  }

  private void runIn(int startedIn, Runnable action) {
    if (running && generation == startedIn) {
      action.run();
    }
  }

  private void apply(StoredRow row) {
    if (row.version() <= versions.getOrDefault(row.key(), 0L)) {
      return;
    }
    if (row.deleted()) {
      if (versions.remove(row.key()) != null) {
        listener.removed(row.key());
      }
    } else {
      versions.put(row.key(), row.version());
      listener.changed(row);
    }
  }

  private void answered() {
    retry = FIRST_RETRY;
    if (unavailable) {
      unavailable = false;
      LOG.write(LogEvent.PLATFORM_RECOVERED, "table", table, "version", newestVersion);
    }
  }

  private void retryLater(String reason, Runnable action) {
    if (!unavailable) {
      unavailable = true;
      LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "table", table, "reason", reason);
    }
    int startedIn = generation;
    timer.after(retry, () -> runIn(startedIn, action));
    retry =
        retry.multipliedBy(2).compareTo(LONGEST_RETRY) < 0 ? retry.multipliedBy(2) : LONGEST_RETRY;
  }

  private static final class Loading {
    private final List<StoredRow> rows = new ArrayList<>();
    private long oldestVersion = Long.MAX_VALUE;

    void add(ReadOutcome.Rows page) {
      rows.addAll(page.rows());
      oldestVersion = Math.min(oldestVersion, page.version());
    }
  }
}
