package org.lovagerack.notes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.notes.NoteTable.Head;
import org.lovagerack.notes.NoteTable.NoteRow;
import org.lovagerack.platform.ObjectStore;
import org.lovagerack.platform.TableService;

/**
 * Keeps the deployment of one process up to date: polls the platform, accepts notes that peers
 * push, and asks peers while the platform is unavailable. Notes are applied in order and the
 * revision never decreases. All calls are made on one event loop.
 */
public final class NoteFollower {

  private static final Duration PERIOD = Duration.ofSeconds(2);

  /**
   * Longest period during an outage, 5 s with jitter. After an outage, one silent call to the
   * platform and one to the peers may have to be given up first, and the change must be in force
   * within 13 s.
   */
  private static final Duration LONGEST_PERIOD = Duration.ofSeconds(4);

  private static final double JITTER = 0.25;

  /** A platform that needs longer for one call counts as unavailable, and peers are asked. */
  private static final Duration PLATFORM_LIMIT = Duration.ofSeconds(5);

  private static final Duration PEER_LIMIT = Duration.ofSeconds(2);

  private final TimerService timer;
  private final RandomGenerator random;
  private final NoteTable table;
  private final ObjectStore objects;
  private final NoteSource peers;
  private final EventLog log = new EventLog(NoteFollower.class);
  private final NoteLedger ledger = new NoteLedger(log);
  private final List<DeploymentListener> listeners = new ArrayList<>();
  private TimerSubscription nextPoll = () -> {};
  private boolean running;
  private boolean polling;
  private boolean ready;
  private int failures;

  /** Creates a follower; {@link #start} starts it. */
  public NoteFollower(
      TimerService timer,
      RandomGenerator random,
      TableService table,
      ObjectStore objects,
      NoteSource peers) {
    this.timer = timer;
    this.random = random;
    this.table = new NoteTable(table);
    this.objects = objects;
    this.peers = peers;
  }

  /** Starts polling. */
  public void start() {
    running = true;
    poll();
  }

  /** Stops polling; the deployment stays. */
  public void stop() {
    running = false;
    nextPoll.cancel();
  }

  /**
   * Adds a listener, which receives the deployment in force at once and every later one. Listeners
   * must not call back into the follower.
   */
  public void addListener(DeploymentListener listener) {
    listeners.add(listener);
    deployment().ifPresent(listener::deployed);
  }

  /** Returns the deployment in force; empty until the platform or a peer has answered. */
  public Optional<Deployment> deployment() {
    return ready ? ledger.deployment() : Optional.empty();
  }

  /** Accepts a note that a peer pushed; notes may come in any order and more than once. */
  public void offer(long revision, ReleaseNote note) {
    if (apply(revision, note, false) == NoteLedger.Result.TOO_EARLY) {
      poll();
    }
  }

  /**
   * Returns what brings a peer up to date: nothing if it is not behind, the missing notes if they
   * are among the last 256, else the whole deployment.
   *
   * @param revision revision that the peer has applied; -1 if it has no deployment
   */
  public CatchUp catchUpAfter(long revision) {
    return ledger.after(ready ? revision : Long.MAX_VALUE);
  }

  /** Polls now, unless a poll is in progress. */
  void refresh() {
    poll();
  }

  /** Applies a note that this process has published. */
  void published(long revision, ReleaseNote note) {
    if (apply(revision, note, true) == NoteLedger.Result.TOO_EARLY) {
      poll();
    }
  }

  /** Returns the revision of a note with this identifier among the retained notes. */
  Optional<Long> revisionOf(String noteId) {
    return ledger.revisionOf(noteId);
  }

  /** Returns a retained note. */
  ReleaseNote retained(long revision) {
    return ledger.applied(revision);
  }

  private void poll() {
    if (!running || polling) {
      return;
    }
    polling = true;
    nextPoll.cancel();
    await(table::readHead, this::onHead, this::onPlatformFailure);
  }

  private void onHead(Head head) {
    if (head.revision() < ledger.revision()) {
      log.write(
          LogEvent.NOTE_STALE_IGNORED, "revision", head.revision(), "applied", ledger.revision());
    }
    if (head.snapshot() > 0 && head.snapshot() - ledger.revision() > NoteTable.BATCH) {
      loadSnapshot(head);
    } else {
      startWithout(head);
    }
  }

  private void loadSnapshot(Head head) {
    await(
        () -> objects.get(NoteTable.snapshotName(head.snapshot())),
        json -> {
          if (json.isPresent() && takeSnapshot(head.snapshot(), json.get())) {
            readRows(head);
          } else {
            log.write(LogEvent.SNAPSHOT_FAILED, "revision", head.snapshot(), "detail", "unusable");
            startWithout(head);
          }
        },
        this::onPlatformFailure);
  }

  private boolean takeSnapshot(long revision, String json) {
    try {
      Deployment snapshot = DeploymentCodec.decode(json);
      if (snapshot.revision() != revision) {
        return false;
      }
      take(snapshot);
      return true;
    } catch (LovagerackException e) {
      return false;
    }
  }

  private void startWithout(Head head) {
    if (ledger.deployment().isEmpty()) {
      take(Deployment.empty());
    }
    readRows(head);
  }

  private void readRows(Head head) {
    long before = ledger.revision();
    if (before >= head.revision()) {
      onCaughtUp();
      return;
    }
    await(
        () -> table.readAfter(before),
        rows -> {
          rows.forEach(this::applyRow);
          if (ledger.revision() > before) {
            readRows(head);
          } else {
            log.write(LogEvent.NOTE_GAP, "applied", before, "head", head.revision());
            onPlatformFailure(new IllegalStateException("no note after revision " + before));
          }
        },
        this::onPlatformFailure);
  }

  private void applyRow(NoteRow row) {
    try {
      apply(row.revision(), row.note(), true);
    } catch (LovagerackException e) {
      log.write(LogEvent.NOTE_REJECTED, "revision", row.revision(), "detail", e.failure().detail());
    }
  }

  private void onCaughtUp() {
    if (failures > 0) {
      log.write(LogEvent.PLATFORM_RECOVERED, "failures", failures);
    }
    failures = 0;
    becomeReady();
    scheduleNextPoll();
  }

  private void onPlatformFailure(Throwable failure) {
    if (failures == 0) {
      log.write(
          LogEvent.PLATFORM_UNAVAILABLE,
          "applied",
          ledger.revision(),
          "detail",
          String.valueOf(failure.getMessage()));
    }
    failures++;
    LimitedCall.await(
        timer,
        PEER_LIMIT,
        () -> peers.catchUpAfter(ledger.revision()),
        answers -> {
          answers.stream()
              .sorted(Comparator.comparingLong(CatchUp::revision).reversed())
              .forEach(this::applyCatchUp);
          onPeersAsked();
        },
        peerFailure -> onPeersAsked());
  }

  private void applyCatchUp(CatchUp catchUp) {
    catchUp.deployment().ifPresent(this::take);
    catchUp.notes().forEach(note -> apply(note.baseRevision() + 1, note, false));
    if (catchUp.deployment().isPresent()) {
      becomeReady();
    }
  }

  private void onPeersAsked() {
    // A start that an outage interrupted: an older revision is better than none. Revision 0 is
    // none, because it holds no service.
    if (ledger.revision() > 0) {
      becomeReady();
    }
    scheduleNextPoll();
  }

  private void scheduleNextPoll() {
    polling = false;
    if (!running) {
      return;
    }
    Duration period = failures == 0 ? PERIOD : LONGEST_PERIOD;
    long jitter = (long) (period.toNanos() * JITTER * random.nextDouble());
    nextPoll = timer.after(period.plusNanos(jitter), this::poll);
  }

  private NoteLedger.Result apply(long revision, ReleaseNote note, boolean fromPlatform) {
    NoteLedger.Result result = ledger.apply(revision, note);
    if (result == NoteLedger.Result.APPLIED) {
      announce();
      if (ready && fromPlatform) {
        forEachListener(listener -> listener.learned(revision, note));
      }
      applyWaiting();
    }
    return result;
  }

  private void take(Deployment newer) {
    if (ledger.take(newer)) {
      announce();
      applyWaiting();
    }
  }

  private void applyWaiting() {
    ledger.takeWaiting().ifPresent(note -> apply(note.baseRevision() + 1, note, false));
  }

  private void becomeReady() {
    if (!ready) {
      ready = true;
      announce();
    }
  }

  private void announce() {
    deployment().ifPresent(current -> forEachListener(listener -> listener.deployed(current)));
  }

  /** A listener that fails must keep neither the others nor the next poll from running. */
  private void forEachListener(Consumer<DeploymentListener> call) {
    for (DeploymentListener listener : listeners) {
      try {
        call.accept(listener);
      } catch (RuntimeException e) {
        log.write(LogEvent.UNEXPECTED_ERROR, e, "revision", ledger.revision());
      }
    }
  }

  private <T> void await(
      Supplier<CompletionStage<T>> call, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    LimitedCall.await(timer, PLATFORM_LIMIT, call, onValue, onFailure);
  }
}
