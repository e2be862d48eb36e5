package org.lovagerack.fleet.support;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagerack.fleet.store.CommitOutcome;
import org.lovagerack.fleet.store.ReadOutcome;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.RowTransaction;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;

/** Linearizable store with simulated time and the faults of a real store. */
public final class FakeStore {

  /** Fault of a connection. */
  public enum Fault {
    NONE,
    /** Calls have no effect, and the caller receives an error. */
    REFUSED,
    /** Calls have no effect, and the caller receives no answer. */
    UNRESPONSIVE,
    /** Writes are applied, and the caller receives no answer. */
    ANSWER_LOST,
    /** Writes are applied two seconds later if their conditions still hold. */
    DONE_LATE
  }

  private static final Duration LATENCY = Duration.ofMillis(4);
  private static final Duration LATE_DELAY = Duration.ofSeconds(2);

  private static final Comparator<RowKey> ORDER =
      Comparator.comparing(RowKey::table)
          .thenComparing(RowKey::partition)
          .thenComparing(RowKey::key);

  private final TimerService timer;
  private final TreeMap<RowKey, StoredRow> rows = new TreeMap<>(ORDER);
  private final List<StoredRow> history = new ArrayList<>();
  private Duration latency = LATENCY;
  private int maxFeedRows = Integer.MAX_VALUE;
  private Duration commitLatency = LATENCY;
  private long version;
  private long forgottenBefore;

  public FakeStore(TimerService timer) {
    this.timer = timer;
  }

  /** Sets how many changes a feed returns at a time. */
  public void setMaxFeedRows(int rows) {
    maxFeedRows = rows;
  }

  /** Sets the latency of reads and transactions. */
  public void setLatency(Duration newLatency) {
    setLatency(newLatency, newLatency);
  }

  /** Sets the latencies of reads and of transactions. */
  public void setLatency(Duration ofReads, Duration ofTransactions) {
    latency = ofReads;
    commitLatency = ofTransactions;
  }

  /** Creates a connection to the store with its own fault. */
  public Connection connect() {
    return new Connection();
  }

  public Map<RowKey, StoredRow> rows() {
    return rows;
  }

  /** Writes a row immediately, as another client does. */
  public void put(RowKey key, String text) {
    version++;
    apply(new StoredRow(key, Bytes.ofText(text), version, false));
  }

  public void remove(RowKey key) {
    version++;
    apply(new StoredRow(key, Bytes.empty(), version, true));
  }

  public void dropHistory() {
    history.clear();
    forgottenBefore = version;
  }

  private void apply(StoredRow row) {
    if (row.deleted()) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    history.add(row);
  }

  private CommitOutcome perform(RowTransaction transaction) {
    List<StoredRow> current = new ArrayList<>();
    boolean holds = true;
    for (RowCondition condition : transaction.conditions()) {
      StoredRow row = rows.get(condition.key());
      holds &= (row == null ? RowCondition.ABSENT : row.version()) == condition.version();
      if (row != null) {
        current.add(row);
      }
    }
    if (!holds) {
      return new CommitOutcome.Conflict(current);
    }
    version++;
    for (RowWrite write : transaction.writes()) {
      apply(new StoredRow(write.key(), write.value(), version, false));
    }
    for (RowKey key : transaction.removals()) {
      apply(new StoredRow(key, Bytes.empty(), version, true));
    }
    return new CommitOutcome.Committed(version);
  }

  /** A client's connection. */
  public final class Connection implements RowStore {
    private Fault fault = Fault.NONE;
    private int commits;

    public void setFault(Fault newFault) {
      fault = newFault;
    }

    public int commits() {
      return commits;
    }

    @Override
    public void commit(
        RowTransaction transaction, Duration timeout, Consumer<CommitOutcome> callback) {
      commits++;
      boolean tooSlow = commitLatency.compareTo(timeout) > 0;
      switch (tooSlow && fault == Fault.NONE ? Fault.ANSWER_LOST : fault) {
        case NONE -> timer.after(commitLatency, () -> callback.accept(perform(transaction)));
        case REFUSED ->
            timer.after(
                commitLatency, () -> callback.accept(new CommitOutcome.NotApplied("status 503")));
        case UNRESPONSIVE ->
            timer.after(timeout, () -> callback.accept(new CommitOutcome.Unknown("no answer")));
        case ANSWER_LOST -> {
          timer.after(commitLatency, () -> perform(transaction));
          timer.after(timeout, () -> callback.accept(new CommitOutcome.Unknown("lost")));
        }
        case DONE_LATE -> {
          timer.after(LATE_DELAY, () -> perform(transaction));
          timer.after(timeout, () -> callback.accept(new CommitOutcome.Unknown("late")));
        }
      }
    }

    @Override
    public void read(
        String table,
        String partition,
        String from,
        int limit,
        Duration timeout,
        Consumer<ReadOutcome> callback) {
      if (failed(timeout, callback)) {
        return;
      }
      timer.after(
          latency,
          () -> {
            List<StoredRow> found =
                rows.values().stream()
                    .filter(
                        row ->
                            row.key().table().equals(table)
                                && row.key().partition().equals(partition)
                                && row.key().key().compareTo(from) >= 0)
                    .toList();
            boolean more = found.size() > limit;
            callback.accept(
                new ReadOutcome.Rows(more ? found.subList(0, limit) : found, more, version));
          });
    }

    @Override
    public void feed(String table, long after, Duration wait, Consumer<ReadOutcome> callback) {
      if (failed(wait, callback)) {
        return;
      }
      timer.after(
          Duration.ofMillis(50),
          () -> {
            if (after < forgottenBefore) {
              callback.accept(new ReadOutcome.HistoryUnavailable());
              return;
            }
            List<StoredRow> found =
                history.stream()
                    .filter(row -> row.key().table().equals(table) && row.version() > after)
                    .toList();
            boolean more = found.size() > maxFeedRows;
            callback.accept(
                new ReadOutcome.Rows(more ? found.subList(0, maxFeedRows) : found, more, version));
          });
    }

    private boolean failed(Duration timeout, Consumer<ReadOutcome> callback) {
      boolean tooSlow = latency.compareTo(timeout) > 0;
      if (fault == Fault.REFUSED || fault == Fault.UNRESPONSIVE || tooSlow) {
        timer.after(
            fault == Fault.REFUSED ? latency : timeout,
            () -> callback.accept(new ReadOutcome.Unavailable("fault " + fault)));
        return true;
      }
      return false;
    }
  }
}
