package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.store.CommitOutcome;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.RowTransaction;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * The transactions of a shard's owner, one after another. Each transaction rewrites the lease row
 * under the condition that nobody else has: it renews the lease, it fails once another VM owns the
 * shard, and after it no earlier transaction can still be applied. A transaction whose answer was
 * lost is therefore repeated unchanged until its fate is known.
 */
final class ShardLog implements TenureLog {

  /**
   * Shortest time for which the owner may act after a transaction was sent. Bounds how long a shard
   * whose owner is silent is without one.
   */
  static final Duration SHORTEST_LEASE = Duration.ofMillis(400);

  /** Longest lease, for a store that is slow. */
  static final Duration LONGEST_LEASE = Duration.ofSeconds(3);

  /** A lease lasts for as many transactions, so that it is kept when the store is slow. */
  private static final int TRANSACTIONS_PER_LEASE = 6;

  /** Part of the remembered latency that one transaction forgets. */
  private static final double LATENCY_DECAY = 0.1;

  /** Renewals per lease: three may fail before it expires. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** The store's limit on the entries of a transaction. */
  private static final int MAX_ENTRIES = 100;

  /** Many times the few milliseconds of a healthy store. */
  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(300);

  private static final Duration LONGEST_TIMEOUT = Duration.ofMillis(2400);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(30);
  private static final Duration LONGEST_BACKOFF = Duration.ofMillis(240);

  /** Unanswered transactions after which new work is refused. */
  private static final int UNANSWERED_LIMIT = 2;

  private static final EventLog LOG = new EventLog(ShardLog.class);

  private final TimerService timer;
  private final LeaseClock clock;
  private final RowStore store;
  private final ShardRows rows;
  private final Runnable leaseLost;
  private final Deque<CommitEntry> waiting = new ArrayDeque<>();
  private LeaseRecord lease;
  private long leaseVersion;
  private LeaseClock.Moment confirmed;
  private Duration confirmedDuration;
  private Duration latency = Duration.ZERO;
  private List<CommitEntry> batch;
  private boolean mayHaveBeenApplied;
  private boolean renewalDue;
  private boolean raiseDue;
  private long confirmedToken;
  private boolean calling;
  private boolean closed;
  private boolean releasing;
  private Runnable released = () -> {};
  private Runnable tokenRaised = () -> {};
  private int consecutiveFailures;
  private boolean storeAvailable = true;
  private Duration timeout = FIRST_TIMEOUT;

  /**
   * Creates the log of a tenure.
   *
   * @param lease lease that was written at the start of the tenure
   * @param leaseVersion version of its row
   * @param takenAt when the transaction that took the shard was sent
   * @param leaseLost told once when another VM has taken the shard
   */
  ShardLog(
      TimerService timer,
      LeaseClock clock,
      RowStore store,
      ShardRows rows,
      LeaseRecord lease,
      long leaseVersion,
      LeaseClock.Moment takenAt,
      Runnable leaseLost) {
    this.timer = timer;
    this.clock = clock;
    this.store = store;
    this.rows = rows;
    this.lease = lease;
    this.leaseVersion = leaseVersion;
    this.confirmed = takenAt;
    this.confirmedDuration = lease.duration();
    this.confirmedToken = lease.token();
    this.leaseLost = leaseLost;
    timer.after(renewalPeriod(), this::renewIfIdle);
  }

  @Override
  public void append(CommitEntry entry) {
    if (closed || releasing) {
      entry.listener().dropped("the shard has another owner");
    } else if (entry.optional() && !storeAvailable) {
      entry.listener().dropped("the store is unavailable");
    } else {
      waiting.add(entry);
      pump();
    }
  }

  @Override
  public boolean leaseValid() {
    // The last attempt may have been applied although its answer is missing.
    Duration duration = shorter(confirmedDuration, lease.duration());
    return !closed && clock.since(confirmed).compareTo(duration) < 0;
  }

  @Override
  public boolean closed() {
    return closed;
  }

  @Override
  public boolean wholeShard() {
    return true;
  }

  @Override
  public boolean storeAvailable() {
    return storeAvailable;
  }

  @Override
  public long token() {
    return confirmedToken;
  }

  /**
   * Raises the token, unless that has happened since; if another VM has taken the shard, the
   * attempt shows it. Otherwise the worker was used by an island.
   */
  @Override
  public void fenced(long usedToken) {
    if (usedToken == lease.token()) {
      raiseDue = true;
      renewalDue = true;
      pump();
    }
  }

  /** Sets what is told when the token has been raised. */
  void onTokenRaised(Runnable listener) {
    tokenRaised = listener;
  }

  /** Commits what waits, gives the shard up, and calls back; later entries are dropped. */
  void release(Runnable callback) {
    releasing = true;
    released = callback;
    pump();
  }

  @Override
  public void close() {
    closed = true;
    waiting.clear();
  }

  private void renewIfIdle() {
    if (closed) {
      return;
    }
    if (clock.since(confirmed).compareTo(renewalPeriod()) >= 0) {
      renewalDue = true;
      pump();
    }
    timer.after(renewalPeriod(), this::renewIfIdle);
  }

  private Duration renewalPeriod() {
    return lease.duration().dividedBy(RENEWALS_PER_LEASE);
  }

  /** Returns how long the next lease is to last. */
  private Duration nextDuration() {
    Duration wanted = latency.multipliedBy(TRANSACTIONS_PER_LEASE);
    return wanted.compareTo(SHORTEST_LEASE) < 0 ? SHORTEST_LEASE : shorter(wanted, LONGEST_LEASE);
  }

  private void observeLatency(LeaseClock.Moment sentAt) {
    Duration observed = clock.since(sentAt);
    Duration decayed = Duration.ofNanos((long) (latency.toNanos() * (1 - LATENCY_DECAY)));
    latency = observed.compareTo(decayed) > 0 ? observed : decayed;
  }

  private void pump() {
    if (closed || calling) {
      return;
    }
    if (batch == null) {
      if (waiting.isEmpty() && !renewalDue && !releasing) {
        return;
      }
      batch = nextBatch();
      lease =
          releasing && waiting.isEmpty() && batch.isEmpty()
              ? lease.released()
              : lease.renewed(nextDuration());
      if (raiseDue) {
        raiseDue = false;
        lease = lease.raised();
      }
    }
    send();
  }

  private List<CommitEntry> nextBatch() {
    renewalDue = false;
    List<CommitEntry> entries = new ArrayList<>();
    // The lease row takes a condition and a write, the owner row a write when the shard is given
    // up.
    int room = MAX_ENTRIES - 3;
    while (!waiting.isEmpty() && waiting.peek().size() <= room) {
      CommitEntry entry = waiting.remove();
      room -= entry.size();
      entries.add(entry);
    }
    return entries;
  }

  private void send() {
    calling = true;
    List<RowCondition> conditions = new ArrayList<>();
    List<RowWrite> writes = new ArrayList<>();
    List<RowKey> removals = new ArrayList<>();
    conditions.add(new RowCondition(rows.lease(), leaseVersion));
    writes.add(new RowWrite(rows.lease(), lease.encode()));
    if (lease.vacant() || lease.token() != confirmedToken) {
      writes.add(new RowWrite(rows.owner(), lease.encode()));
    }
    for (CommitEntry entry : batch) {
      conditions.addAll(entry.conditions());
      writes.addAll(entry.writes());
      removals.addAll(entry.removals());
    }
    LeaseClock.Moment sentAt = clock.now();
    store.commit(
        new RowTransaction(conditions, writes, removals),
        timeout,
        outcome -> {
          calling = false;
          observeLatency(sentAt);
          if (!closed) {
            receive(outcome, sentAt);
          }
        });
  }

  private void receive(CommitOutcome outcome, LeaseClock.Moment sentAt) {
    switch (outcome) {
      case CommitOutcome.Committed committed -> applied(committed.version(), sentAt);
      case CommitOutcome.Conflict conflict -> conflicted(conflict, sentAt);
      case CommitOutcome.NotApplied failure -> failed(failure.reason(), false);
      case CommitOutcome.Unknown failure -> failed(failure.reason(), true);
    }
  }

  private void applied(long version, LeaseClock.Moment sentAt) {
    leaseVersion = version;
    confirmed = sentAt;
    confirmedDuration = lease.duration();
    boolean raised = lease.token() != confirmedToken;
    confirmedToken = lease.token();
    answered();
    List<CommitEntry> done = batch;
    batch = null;
    mayHaveBeenApplied = false;
    done.forEach(entry -> entry.listener().committed());
    if (raised) {
      LOG.write(LogEvent.TOKEN_RAISED, "partition", rows.partition(), "token", confirmedToken);
      tokenRaised.run();
    }
    if (lease.vacant()) {
      closed = true;
      released.run();
    } else {
      pump();
    }
  }

  private void conflicted(CommitOutcome.Conflict conflict, LeaseClock.Moment sentAt) {
    Optional<StoredRow> current =
        conflict.rows().stream().filter(row -> row.key().equals(rows.lease())).findFirst();
    if (current.isEmpty()) {
      lose("the lease row is gone");
      return;
    }
    LeaseRecord stored;
    try {
      stored = LeaseRecord.decode(current.get().value());
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", rows.lease());
      lose("the lease row cannot be read");
      return;
    }
    if (!stored.sameTenure(lease)) {
      lose("token " + stored.token() + " is held by " + stored.ownerAddress());
    } else if (stored.sequence() == lease.sequence()) {
      applied(current.get().version(), sentAt);
    } else {
      leaseVersion = current.get().version();
      dropConflicting(conflict);
      answered();
      pump();
    }
  }

  private void dropConflicting(CommitOutcome.Conflict conflict) {
    List<CommitEntry> remaining = new ArrayList<>();
    List<Runnable> notices = new ArrayList<>();
    for (CommitEntry entry : batch) {
      Optional<StoredRow> row = firstBroken(entry, conflict.rows());
      if (row.isPresent()) {
        notices.add(() -> entry.listener().conflicted(row.get()));
      } else {
        remaining.add(entry);
      }
    }
    batch = remaining;
    mayHaveBeenApplied = false;
    notices.forEach(Runnable::run);
  }

  private static Optional<StoredRow> firstBroken(CommitEntry entry, List<StoredRow> current) {
    for (RowCondition condition : entry.conditions()) {
      for (StoredRow row : current) {
        if (row.key().equals(condition.key()) && row.version() != condition.version()) {
          return Optional.of(row);
        }
      }
    }
    return Optional.empty();
  }

  private void failed(String reason, boolean unknown) {
    mayHaveBeenApplied |= unknown;
    consecutiveFailures++;
    if (storeAvailable && (!unknown || consecutiveFailures >= UNANSWERED_LIMIT)) {
      storeAvailable = false;
      LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "partition", rows.partition(), "reason", reason);
    }
    if (unknown) {
      timeout = shorter(timeout.multipliedBy(2), LONGEST_TIMEOUT);
    }
    if (!storeAvailable) {
      dropOptional(reason);
    }
    Duration backoff = FIRST_BACKOFF.multipliedBy(1L << Math.min(consecutiveFailures - 1, 3));
    calling = true;
    timer.after(
        shorter(backoff, LONGEST_BACKOFF),
        () -> {
          calling = false;
          pump();
        });
  }

  private void dropOptional(String reason) {
    List<CommitEntry> dropped = new ArrayList<>();
    if (!mayHaveBeenApplied) {
      removeOptional(batch.iterator(), dropped);
    }
    removeOptional(waiting.iterator(), dropped);
    dropped.forEach(entry -> entry.listener().dropped(reason));
  }

  private static void removeOptional(Iterator<CommitEntry> entries, List<CommitEntry> removed) {
    while (entries.hasNext()) {
      CommitEntry entry = entries.next();
      if (entry.optional()) {
        entries.remove();
        removed.add(entry);
      }
    }
  }

  private void answered() {
    consecutiveFailures = 0;
    timeout = FIRST_TIMEOUT;
    if (!storeAvailable) {
      storeAvailable = true;
      LOG.write(
          LogEvent.PLATFORM_RECOVERED, "partition", rows.partition(), "version", leaseVersion);
    }
  }

  private void lose(String reason) {
    closed = true;
    LOG.write(
        LogEvent.SHARD_LOST,
        "partition",
        rows.partition(),
        "token",
        lease.token(),
        "reason",
        reason);
    List<CommitEntry> lost = new ArrayList<>(batch);
    boolean uncertain = mayHaveBeenApplied;
    lost.addAll(waiting);
    waiting.clear();
    leaseLost.run();
    if (!uncertain) {
      lost.forEach(entry -> entry.listener().dropped(reason));
    }
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }
}
