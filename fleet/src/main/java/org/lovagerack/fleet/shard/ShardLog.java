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
 * Executes the transactions of a shard's owner sequentially. Each transaction rewrites the lease
 * row on the condition that its version is unchanged. It therefore renews the lease, fails once
 * another VM owns the shard, and prevents preceding transactions from being applied late. A
 * transaction whose answer is lost is repeated unchanged until its outcome is known.
 */
final class ShardLog implements DecisionLog {

  /** Renewals per lease: three may fail before it expires. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** The store's limit on the entries of a transaction. */
  private static final int MAX_ENTRIES = 100;

  private static final EventLog LOG = new EventLog(ShardLog.class);

  private final TimerService timer;
  private final LeaseClock clock;
  private final RowStore store;
  private final ShardRows rows;
  private final Runnable onLeaseLost;
  private final StoreHealth health;
  private final LeaseLength leaseLength = new LeaseLength();
  private final Deque<CommitEntry> pending = new ArrayDeque<>();
  private LeaseRecord lease;
  private long leaseVersion;
  private LeaseClock.Timestamp confirmedAt;
  private Duration confirmedDuration;
  private List<CommitEntry> batch;
  private boolean mayHaveBeenApplied;

  /** When the first attempt of the transaction was sent that may have been applied. */
  private LeaseClock.Timestamp firstSentAt;

  private boolean renewalDue;
  private boolean tokenRaiseDue;
  private long confirmedToken;
  private boolean busy;
  private boolean closed;
  private boolean releasing;
  private Runnable onReleased = () -> {};
  private Runnable onTokenRaised = () -> {};

  /**
   * Creates the log of a term.
   *
   * @param lease lease that was written at the start of the term
   * @param leaseVersion version of its row
   * @param takenOverAt when the transaction that took over the shard was sent
   * @param onLeaseLost called once when another VM has taken over the shard
   */
  ShardLog(
      TimerService timer,
      LeaseClock clock,
      RowStore store,
      ShardRows rows,
      LeaseRecord lease,
      long leaseVersion,
      LeaseClock.Timestamp takenOverAt,
      Runnable onLeaseLost) {
    this.timer = timer;
    this.clock = clock;
    this.store = store;
    this.rows = rows;
    this.health = new StoreHealth(rows.partition());
    this.lease = lease;
    this.leaseVersion = leaseVersion;
    this.confirmedAt = takenOverAt;
    this.firstSentAt = takenOverAt;
    this.confirmedDuration = lease.duration();
    this.confirmedToken = lease.token();
    this.onLeaseLost = onLeaseLost;
    timer.after(renewalPeriod(), this::renewIfIdle);
  }

  @Override
  public void append(CommitEntry entry) {
    if (closed || releasing) {
      entry.listener().dropped("the shard has another owner");
    } else if (entry.optional() && !health.available()) {
      entry.listener().dropped("the store is unavailable");
    } else {
      pending.add(entry);
      sendNext();
    }
  }

  @Override
  public boolean leaseValid() {
    // An unanswered transaction with a shorter lease duration may have been applied.
    Duration duration = LeaseLength.shorter(confirmedDuration, lease.duration());
    return !closed && clock.since(confirmedAt).compareTo(duration) < 0;
  }

  @Override
  public boolean closed() {
    return closed;
  }

  @Override
  public boolean coversWholeShard() {
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
   * Raises the token unless it has been raised since. If another VM has taken over the shard, the
   * transaction fails. Otherwise an island has used the worker under a higher token.
   */
  @Override
  public void fenced(long usedToken) {
    if (usedToken == lease.token()) {
      tokenRaiseDue = true;
      renewalDue = true;
      sendNext();
    }
  }

  /** Sets the listener that is called when the token has been raised. */
  void setTokenRaisedListener(Runnable listener) {
    onTokenRaised = listener;
  }

  /** Commits pending entries, releases the shard and calls back; later entries are dropped. */
  void release(Runnable callback) {
    releasing = true;
    onReleased = callback;
    sendNext();
  }

  @Override
  public void close() {
    closed = true;
    pending.clear();
  }

  private void renewIfIdle() {
    if (closed) {
      return;
    }
    if (clock.since(confirmedAt).compareTo(renewalPeriod()) >= 0) {
      renewalDue = true;
      sendNext();
    }
    timer.after(renewalPeriod(), this::renewIfIdle);
  }

  private Duration renewalPeriod() {
    return lease.duration().dividedBy(RENEWALS_PER_LEASE);
  }

  private void sendNext() {
    if (closed || busy) {
      return;
    }
    if (batch == null) {
      if (pending.isEmpty() && !renewalDue && !releasing) {
        return;
      }
      batch = nextBatch();
      lease =
          releasing && pending.isEmpty() && batch.isEmpty()
              ? lease.released()
              : lease.renewed(leaseLength.next());
      if (tokenRaiseDue) {
        tokenRaiseDue = false;
        lease = lease.withNextToken();
      }
    }
    send();
  }

  private List<CommitEntry> nextBatch() {
    renewalDue = false;
    List<CommitEntry> entries = new ArrayList<>();
    // The lease row takes a condition and a write. The owner row takes a write when the shard is
    // released or the token is raised.
    int remainingEntries = MAX_ENTRIES - 3;
    while (!pending.isEmpty() && pending.peek().size() <= remainingEntries) {
      CommitEntry entry = pending.remove();
      remainingEntries -= entry.size();
      entries.add(entry);
    }
    return entries;
  }

  private void send() {
    busy = true;
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
    LeaseClock.Timestamp sentAt = clock.now();
    if (!mayHaveBeenApplied) {
      firstSentAt = sentAt;
    }
    store.commit(
        new RowTransaction(conditions, writes, removals),
        health.timeout(),
        outcome -> {
          busy = false;
          leaseLength.observe(clock.since(sentAt));
          if (!closed) {
            handleOutcome(outcome, sentAt);
          }
        });
  }

  private void handleOutcome(CommitOutcome outcome, LeaseClock.Timestamp sentAt) {
    switch (outcome) {
      case CommitOutcome.Committed committed -> applied(committed.version(), sentAt);
      case CommitOutcome.Conflict conflict -> conflicted(conflict);
      case CommitOutcome.NotApplied failure -> failed(failure.reason(), false);
      case CommitOutcome.Unknown failure -> failed(failure.reason(), true);
    }
  }

  private void applied(long version, LeaseClock.Timestamp sentAt) {
    leaseVersion = version;
    confirmedAt = sentAt;
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
      onTokenRaised.run();
    }
    if (lease.vacant()) {
      closed = true;
      onReleased.run();
    } else {
      sendNext();
    }
  }

  private void conflicted(CommitOutcome.Conflict conflict) {
    Optional<StoredRow> current =
        conflict.rows().stream().filter(row -> row.key().equals(rows.lease())).findFirst();
    if (current.isEmpty()) {
      loseLease("the lease row does not exist");
      return;
    }
    LeaseRecord stored;
    try {
      stored = LeaseRecord.decode(current.get().value());
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", rows.lease());
      loseLease("the lease row cannot be read");
      return;
    }
    if (!stored.sameTerm(lease)) {
      loseLease("token " + stored.token() + " is held by " + stored.ownerAddress());
    } else if (stored.sequence() == lease.sequence()) {
      // An earlier attempt was applied, so other VMs have seen the lease unchanged since then.
      renewalDue = true;
      applied(current.get().version(), firstSentAt);
    } else {
      leaseVersion = current.get().version();
      dropConflicting(conflict);
      health.answered(leaseVersion);
      sendNext();
    }
  }

  private void dropConflicting(CommitOutcome.Conflict conflict) {
    List<CommitEntry> remaining = new ArrayList<>();
    List<Runnable> notices = new ArrayList<>();
    for (CommitEntry entry : batch) {
      Optional<StoredRow> row = firstFailedCondition(entry, conflict.rows());
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

  private static Optional<StoredRow> firstFailedCondition(
      CommitEntry entry, List<StoredRow> current) {
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
    busy = true;
    timer.after(
        pause,
        () -> {
          busy = false;
          sendNext();
        });
  }

  private void dropOptional(String reason) {
    List<CommitEntry> dropped = new ArrayList<>();
    if (!mayHaveBeenApplied) {
      removeOptional(batch.iterator(), dropped);
    }
    removeOptional(pending.iterator(), dropped);
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

  private void loseLease(String reason) {
    closed = true;
    LOG.write(
        LogEvent.SHARD_LOST,
        "partition",
        rows.partition(),
        "token",
        lease.token(),
        "reason",
        reason);
    List<CommitEntry> dropped = new ArrayList<>(batch);
    boolean outcomeUnknown = mayHaveBeenApplied;
    dropped.addAll(pending);
    pending.clear();
    onLeaseLost.run();
    if (!outcomeUnknown) {
      dropped.forEach(entry -> entry.listener().dropped(reason));
    }
  }
}
