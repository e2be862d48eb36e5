package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.store.CommitOutcome;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.RowTransaction;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/** Takes the lease of one shard for this process. */
public final class ShardLease {

  /** Result of an attempt to take a shard. */
  public sealed interface Result {}

  /**
   * This process owns the shard.
   *
   * @param shard the shard, not started
   */
  public record Taken(OwnedShard shard) implements Result {}

  /**
   * Another process owns the shard.
   *
   * @param record its lease
   */
  public record HeldByOther(LeaseRecord record) implements Result {}

  /**
   * The store could not be read, and nothing was attempted.
   *
   * @param reason why
   */
  public record StoreUnreachable(String reason) implements Result {}

  /**
   * The attempt did not come to a result.
   *
   * @param reason why
   */
  public record Undecided(String reason) implements Result {}

  /** Many times a healthy answer; short, because a VM that is cut off waits for it. */
  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(400);

  /** Longer than a slow store takes for a transaction, about half a second. */
  private static final Duration LONGEST_TIMEOUT = Duration.ofMillis(2400);

  /**
   * How many times a read's length is allowed for the write that follows it. A transaction takes a
   * little longer than a read, and an attempt that is given up too early may still be applied: then
   * the next one has to wait for the lease of this one.
   */
  private static final int READS_PER_WRITE = 4;

  /** Slack for the time between the owner's clock reading and the store's transaction. */
  private static final Duration MARGIN = Duration.ofMillis(100);

  private static final EventLog LOG = new EventLog(ShardLease.class);

  private final TimerService timer;
  private final LeaseClock clock;
  private final RowStore store;
  private final ShardRows rows;
  private final String ownAddress;
  private final long ownIncarnation;
  private final OwnedShardFactory factory;
  private Duration timeout = FIRST_TIMEOUT;
  private Duration lastRead = Duration.ZERO;

  /**
   * Creates the lease of a shard.
   *
   * @param ownAddress address of this process for other entry VMs
   * @param ownIncarnation random number of this process
   */
  public ShardLease(
      TimerService timer,
      LeaseClock clock,
      RowStore store,
      ShardRows rows,
      String ownAddress,
      long ownIncarnation,
      OwnedShardFactory factory) {
    this.timer = timer;
    this.clock = clock;
    this.store = store;
    this.rows = rows;
    this.ownAddress = ownAddress;
    this.ownIncarnation = ownIncarnation;
    this.factory = factory;
  }

  /** Returns whether this process wrote a record. */
  public boolean isOwn(LeaseRecord record) {
    return record.ownerIncarnation() == ownIncarnation && record.ownerAddress().equals(ownAddress);
  }

  /**
   * Takes the shard from an owner whose process is known to be gone, or that gave it up.
   *
   * @param known last known lease; empty if there was none
   */
  public void take(Optional<LeaseRecord> known, Consumer<Result> callback) {
    read(
        stored -> {
          Optional<LeaseRecord> current = stored.flatMap(ShardLease::decode);
          if (current.isPresent()
              && !current.get().vacant()
              && known.filter(current.get()::sameTenure).isEmpty()) {
            callback.accept(new HeldByOther(current.get()));
          } else {
            write(stored, callback);
          }
        },
        callback);
  }

  /** Takes the shard if its owner does not renew the lease for as long as it lasts. */
  public void takeIfUnrenewed(Consumer<Result> callback) {
    read(
        first ->
            timer.after(
                first
                    .flatMap(ShardLease::decode)
                    .map(LeaseRecord::duration)
                    .orElse(LeaseLength.LONGEST)
                    .plus(MARGIN),
                () ->
                    read(
                        second -> {
                          if (first
                              .map(StoredRow::version)
                              .equals(second.map(StoredRow::version))) {
                            write(second, callback);
                          } else {
                            callback.accept(new Undecided("the owner renews its lease"));
                          }
                        },
                        callback)),
        callback);
  }

  private void read(Consumer<Optional<StoredRow>> next, Consumer<Result> callback) {
    long sentNanos = timer.nanoTime();
    store.readRow(
        rows.lease(),
        timeout,
        stored -> {
          lastRead = Duration.ofNanos(timer.nanoTime() - sentNanos);
          next.accept(stored);
        },
        outcome -> {
          lengthenTimeout();
          callback.accept(new StoreUnreachable("the lease cannot be read: " + outcome));
        });
  }

  private void write(Optional<StoredRow> stored, Consumer<Result> callback) {
    // A row that cannot be read names no owner, but its version still orders the owners.
    long token =
        stored
            .flatMap(ShardLease::decode)
            .map(LeaseRecord::token)
            .orElse(stored.map(StoredRow::version).orElse(0L));
    long granted = FencingTokens.next(token);
    LeaseRecord taken =
        new LeaseRecord(granted, granted, 0, ownAddress, ownIncarnation, LeaseLength.SHORTEST);
    LeaseClock.Moment sentAt = clock.now();
    store.commit(
        new RowTransaction(
            List.of(
                new RowCondition(
                    rows.lease(), stored.map(StoredRow::version).orElse(RowCondition.ABSENT))),
            List.of(
                new RowWrite(rows.lease(), taken.encode()),
                new RowWrite(rows.owner(), taken.encode())),
            List.of()),
        writeTimeout(),
        outcome -> {
          switch (outcome) {
            case CommitOutcome.Committed committed -> {
              timeout = FIRST_TIMEOUT;
              callback.accept(new Taken(factory.create(rows, taken, committed.version(), sentAt)));
            }
            case CommitOutcome.Conflict conflict -> callback.accept(conflict(conflict));
            case CommitOutcome.NotApplied failure ->
                callback.accept(new Undecided(failure.reason()));
            // A later attempt takes the shard from this process itself, under a higher token.
            case CommitOutcome.Unknown failure -> {
              lengthenTimeout();
              callback.accept(new Undecided(failure.reason()));
            }
          }
        });
  }

  private Duration writeTimeout() {
    Duration expected = lastRead.multipliedBy(READS_PER_WRITE);
    return expected.compareTo(timeout) < 0
        ? timeout
        : LeaseLength.shorter(expected, LONGEST_TIMEOUT);
  }

  /** A store that is slow answers the next attempt in time. */
  private void lengthenTimeout() {
    timeout = LeaseLength.shorter(timeout.multipliedBy(2), LONGEST_TIMEOUT);
  }

  private Result conflict(CommitOutcome.Conflict conflict) {
    for (StoredRow row : conflict.rows()) {
      if (row.key().equals(rows.lease())) {
        Optional<LeaseRecord> holder = decode(row);
        if (holder.isPresent()) {
          return new HeldByOther(holder.get());
        }
      }
    }
    return new Undecided("the lease has changed");
  }

  private static Optional<LeaseRecord> decode(StoredRow row) {
    try {
      return Optional.of(LeaseRecord.decode(row.value()));
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      return Optional.empty();
    }
  }
}
