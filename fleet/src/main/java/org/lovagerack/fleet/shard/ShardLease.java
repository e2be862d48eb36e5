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

/** Acquires the lease of one shard for this process. */
public final class ShardLease {

  /** Result of an attempt to take over a shard. */
  public sealed interface Result {}

  /**
   * This process owns the shard.
   *
   * @param shard the shard, not started
   * @param firstTerm whether the shard never had an owner before
   * @param predecessor last lease of the former owner; empty if there is none or it is unreadable
   */
  public record TakenOver(OwnedShard shard, boolean firstTerm, Optional<LeaseRecord> predecessor)
      implements Result {}

  /**
   * Another process owns the shard.
   *
   * @param record its lease
   */
  public record OwnedByOther(LeaseRecord record) implements Result {}

  /**
   * The store could not be read, so no takeover was attempted.
   *
   * @param reason why
   */
  public record StoreUnreachable(String reason) implements Result {}

  /**
   * The outcome of the attempt is unknown or the shard was not taken over.
   *
   * @param reason why
   */
  public record Undecided(String reason) implements Result {}

  /**
   * Several times the latency of a healthy store, but short because a VM that cannot reach the
   * store waits this long.
   */
  private static final Duration INITIAL_TIMEOUT = Duration.ofMillis(400);

  /** Longer than a transaction takes on a slow store, about 0.5 s. */
  private static final Duration MAX_TIMEOUT = Duration.ofMillis(2400);

  /**
   * Write timeout as a multiple of the duration of the preceding read. A transaction takes a little
   * longer than a read. An attempt that times out too early may still be applied, and the next
   * attempt then has to wait until that lease expires.
   */
  private static final int WRITE_TIMEOUT_PER_READ = 4;

  /** Allowance for the time between the owner's clock reading and the commit in the store. */
  private static final Duration LEASE_MARGIN = Duration.ofMillis(100);

  private static final EventLog LOG = new EventLog(ShardLease.class);

  private final TimerService timer;
  private final LeaseClock clock;
  private final RowStore store;
  private final ShardRows rows;
  private final String ownAddress;
  private final long ownIncarnation;
  private final OwnedShardFactory factory;
  private Duration timeout = INITIAL_TIMEOUT;
  private Duration lastReadDuration = Duration.ZERO;

  /**
   * Creates a lease that this process has not acquired.
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
   * Takes over the shard from an owner that has released it or whose process has terminated.
   *
   * @param known last known lease; empty if there was none
   */
  public void takeOver(Optional<LeaseRecord> known, Consumer<Result> callback) {
    read(
        stored -> {
          Optional<LeaseRecord> current = stored.flatMap(ShardLease::decode);
          if (current.isPresent()
              && !current.get().vacant()
              && known.filter(current.get()::sameTerm).isEmpty()) {
            callback.accept(new OwnedByOther(current.get()));
          } else {
            write(stored, callback);
          }
        },
        callback);
  }

  /** Takes over the shard if its owner does not renew the lease within the lease duration. */
  public void takeOverIfUnrenewed(Consumer<Result> callback) {
    read(
        first ->
            timer.after(
                first
                    .flatMap(ShardLease::decode)
                    .map(LeaseRecord::duration)
                    .orElse(LeaseLength.MAX_DURATION)
                    .plus(LEASE_MARGIN),
                () ->
                    read(
                        second -> {
                          if (first
                              .map(StoredRow::version)
                              .equals(second.map(StoredRow::version))) {
                            write(second, callback);
                          } else {
                            callback.accept(new Undecided("the owner has renewed its lease"));
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
          lastReadDuration = Duration.ofNanos(timer.nanoTime() - sentNanos);
          next.accept(stored);
        },
        outcome -> {
          lengthenTimeout();
          callback.accept(new StoreUnreachable("the lease cannot be read: " + outcome));
        });
  }

  private void write(Optional<StoredRow> stored, Consumer<Result> callback) {
    // A malformed row has no token. Its version is used instead, because it increases with every
    // change of owner.
    Optional<LeaseRecord> predecessor = stored.flatMap(ShardLease::decode);
    long token =
        predecessor.map(LeaseRecord::token).orElse(stored.map(StoredRow::version).orElse(0L));
    long granted = FencingTokens.next(token);
    LeaseRecord newLease =
        new LeaseRecord(granted, granted, 0, ownAddress, ownIncarnation, LeaseLength.MIN_DURATION);
    LeaseClock.Timestamp sentAt = clock.now();
    store.commit(
        new RowTransaction(
            List.of(
                new RowCondition(
                    rows.lease(), stored.map(StoredRow::version).orElse(RowCondition.ABSENT))),
            List.of(
                new RowWrite(rows.lease(), newLease.encode()),
                new RowWrite(rows.owner(), newLease.encode())),
            List.of()),
        writeTimeout(),
        outcome -> {
          switch (outcome) {
            case CommitOutcome.Committed committed -> {
              timeout = INITIAL_TIMEOUT;
              callback.accept(
                  new TakenOver(
                      factory.create(rows, newLease, committed.version(), sentAt),
                      stored.isEmpty(),
                      predecessor));
            }
            case CommitOutcome.Conflict conflict -> callback.accept(conflict(conflict));
            case CommitOutcome.NotApplied failure ->
                callback.accept(new Undecided(failure.reason()));
            // If the write was applied, a later attempt takes over the shard from this process
            // itself under a higher token.
            case CommitOutcome.Unknown failure -> {
              lengthenTimeout();
              callback.accept(new Undecided(failure.reason()));
            }
          }
        });
  }

  private Duration writeTimeout() {
    Duration expected = lastReadDuration.multipliedBy(WRITE_TIMEOUT_PER_READ);
    return expected.compareTo(timeout) < 0 ? timeout : LeaseLength.shorter(expected, MAX_TIMEOUT);
  }

  /** Doubles the timeout so that a slow store can answer the next attempt. */
  private void lengthenTimeout() {
    timeout = LeaseLength.shorter(timeout.multipliedBy(2), MAX_TIMEOUT);
  }

  private Result conflict(CommitOutcome.Conflict conflict) {
    for (StoredRow row : conflict.rows()) {
      if (row.key().equals(rows.lease())) {
        Optional<LeaseRecord> owner = decode(row);
        if (owner.isPresent()) {
          return new OwnedByOther(owner.get());
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
