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

  /** Renewals per lease: three may fail before it expires. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** The store's limit on the entries of a transaction. */
  private static final int MAX_ENTRIES = 100;

  private static final EventLog LOG = new EventLog(ShardLog.class);

  private final TimerService timer;
  private final LeaseClock clock;
  private final RowStore store;
  private final ShardRows rows;
  private final Runnable leaseLost;
  private final StoreHealth health;
  private final LeaseLength leaseLength = new LeaseLength();
  private final Deque<CommitEntry> waiting = new ArrayDeque<>();
  private LeaseRecord lease;
  private long leaseVersion;
  private LeaseClock.Moment confirmed;
  private Duration confirmedDuration;
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
    this.health = new StoreHealth(rows.partition());
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
    } else if (entry.optional() && !health.available()) {
      entry.listener().dropped("the store is unavailable");
    } else {
      waiting.add(entry);
      pump();
    }
  }

  @Override
  public boolean leaseValid() {
    // The last attempt may have been applied although its answer is missing.
    Duration duration = LeaseLength.shorter(confirmedDuration, lease.duration());
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
    return health.available();
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
              : lease.renewed(leaseLength.next());
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
        health.timeout(),
        outcome -> {
          calling = false;
          leaseLength.observe(clock.since(sentAt));
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
    health.answered(leaseVersion);
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
      health.answered(leaseVersion);
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
    Duration pause = health.failed(reason, unknown);
    if (!health.available()) {
      dropOptional(reason);
    }
    calling = true;
    timer.after(
        pause,
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
}
