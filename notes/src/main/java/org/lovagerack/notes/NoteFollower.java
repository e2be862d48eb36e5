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
 * Updates the deployment of one process: it polls the platform, accepts notes that peers push, and
 * queries peers while the platform is unavailable. Notes are applied in order and the revision
 * never decreases. All methods must be called on one event loop.
 */
public final class NoteFollower {

  private static final Duration POLL_PERIOD = Duration.ofSeconds(2);

  /**
   * Poll period during an outage; at most 5 s with jitter. A change must be in force within 13 s
   * after an outage, and until then one call to the platform and one to the peers may time out.
   */
  private static final Duration OUTAGE_POLL_PERIOD = Duration.ofSeconds(4);

  private static final double JITTER_FRACTION = 0.25;

  /**
   * Timeout of a platform call; after it the platform counts as unavailable, so peers are queried.
   */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

  private final TimerService timer;
  private final RandomGenerator random;
  private final NoteTable table;
  private final ObjectStore objects;
  private final NoteSource peers;
  private final EventLog log = new EventLog(NoteFollower.class);
  private final DeploymentHistory history = new DeploymentHistory(log);
  private final List<DeploymentListener> listeners = new ArrayList<>();
  private TimerSubscription nextPoll = () -> {};
  private boolean running;
  private boolean polling;
  private boolean ready;
  private int consecutiveFailures;

  /** Creates a follower, which does nothing until {@link #start} is called. */
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

  /** Stops polling. The deployment stays in force. */
  public void stop() {
    running = false;
    nextPoll.cancel();
  }

  /**
   * Adds a listener, which immediately receives the deployment in force and then every later one.
   * Listeners must not call methods of the follower.
   */
  public void addListener(DeploymentListener listener) {
    listeners.add(listener);
    deployment().ifPresent(listener::deployed);
  }

  /** Returns the deployment in force; empty until the platform or a peer has answered. */
  public Optional<Deployment> deployment() {
    return ready ? history.deployment() : Optional.empty();
  }

  /** Accepts a note that a peer pushed; notes may come in any order and more than once. */
  public void offer(long revision, ReleaseNote note) {
    if (apply(revision, note, false) == DeploymentHistory.Result.TOO_EARLY) {
      poll();
    }
  }

  /**
   * Returns the data that brings a peer up to date: nothing if it is not behind, the missing notes
   * if they are among the last 256, otherwise the entire deployment.
   *
   * @param revision revision that the peer has applied; -1 if it has no deployment
   */
  public CatchUp catchUpAfter(long revision) {
    return history.catchUpAfter(ready ? revision : Long.MAX_VALUE);
  }

  /** Polls now, unless a poll is in progress. */
  void pollNow() {
    poll();
  }

  /** Applies a note that this process has published. */
  void published(long revision, ReleaseNote note) {
    if (apply(revision, note, true) == DeploymentHistory.Result.TOO_EARLY) {
      poll();
    }
  }

  /** Returns the revision of a note with this identifier among the retained notes. */
  Optional<Long> revisionOf(String noteId) {
    return history.revisionOf(noteId);
  }

  /** Returns a retained note. */
  ReleaseNote retained(long revision) {
    return history.retained(revision);
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
    if (head.revision() < history.revision()) {
      log.write(
          LogEvent.NOTE_STALE_IGNORED, "revision", head.revision(), "applied", history.revision());
    }
    if (head.snapshot() > 0 && head.snapshot() - history.revision() > NoteTable.SCAN_LIMIT) {
      loadSnapshot(head);
    } else {
      continueWithoutSnapshot(head);
    }
  }

  private void loadSnapshot(Head head) {
    await(
        () -> objects.get(NoteTable.snapshotName(head.snapshot())),
        json -> {
          if (json.isPresent() && installSnapshot(head.snapshot(), json.get())) {
            readRows(head);
          } else {
            log.write(LogEvent.SNAPSHOT_FAILED, "revision", head.snapshot(), "detail", "unusable");
            continueWithoutSnapshot(head);
          }
        },
        this::onPlatformFailure);
  }

  private boolean installSnapshot(long revision, String json) {
    try {
      Deployment snapshot = DeploymentCodec.decode(json);
      if (snapshot.revision() != revision) {
        return false;
      }
      replaceDeployment(snapshot);
      return true;
    } catch (LovagerackException e) {
      return false;
    }
  }

  private void continueWithoutSnapshot(Head head) {
    if (history.deployment().isEmpty()) {
      replaceDeployment(Deployment.empty());
    }
    readRows(head);
  }

  private void readRows(Head head) {
    long before = history.revision();
    if (before >= head.revision()) {
      onCaughtUp();
      return;
    }
    await(
        () -> table.readAfter(before),
        rows -> {
          rows.forEach(this::applyRow);
          if (history.revision() > before) {
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
    if (consecutiveFailures > 0) {
      log.write(LogEvent.PLATFORM_RECOVERED, "failures", consecutiveFailures);
    }
    consecutiveFailures = 0;
    becomeReady();
    scheduleNextPoll();
  }

  private void onPlatformFailure(Throwable failure) {
    if (consecutiveFailures == 0) {
      log.write(
          LogEvent.PLATFORM_UNAVAILABLE,
          "applied",
          history.revision(),
          "detail",
          String.valueOf(failure.getMessage()));
    }
    consecutiveFailures++;
    CallWithTimeout.await(
        timer,
        PEER_TIMEOUT,
        () -> peers.catchUpAfter(history.revision()),
        answers -> {
          answers.stream()
              .sorted(Comparator.comparingLong(CatchUp::revision).reversed())
              .forEach(this::applyCatchUp);
          onPeersAsked();
        },
        peerFailure -> onPeersAsked());
  }

  private void applyCatchUp(CatchUp catchUp) {
    catchUp.deployment().ifPresent(this::replaceDeployment);
    catchUp.notes().forEach(note -> apply(note.baseRevision() + 1, note, false));
    if (catchUp.deployment().isPresent()) {
      becomeReady();
    }
  }

  private void onPeersAsked() {
    // During an outage at start an older revision is better than none. Revision 0 has no services
    // and counts as none.
    if (history.revision() > 0) {
      becomeReady();
    }
    scheduleNextPoll();
  }

  private void scheduleNextPoll() {
    polling = false;
    if (!running) {
      return;
    }
    Duration period = consecutiveFailures == 0 ? POLL_PERIOD : OUTAGE_POLL_PERIOD;
    long jitter = (long) (period.toNanos() * JITTER_FRACTION * random.nextDouble());
    nextPoll = timer.after(period.plusNanos(jitter), this::poll);
  }

  private DeploymentHistory.Result apply(long revision, ReleaseNote note, boolean fromPlatform) {
    DeploymentHistory.Result result = history.apply(revision, note);
    if (result == DeploymentHistory.Result.APPLIED) {
      notifyDeployed();
      if (ready && fromPlatform) {
        forEachListener(listener -> listener.noteReceivedFromPlatform(revision, note));
      }
      applyNextEarlyNote();
    }
    return result;
  }

  private void replaceDeployment(Deployment newer) {
    if (history.replaceDeployment(newer)) {
      notifyDeployed();
      applyNextEarlyNote();
    }
  }

  private void applyNextEarlyNote() {
    history.removeNextEarlyNote().ifPresent(note -> apply(note.baseRevision() + 1, note, false));
  }

  private void becomeReady() {
    if (!ready) {
      ready = true;
      notifyDeployed();
    }
  }

  private void notifyDeployed() {
    deployment().ifPresent(current -> forEachListener(listener -> listener.deployed(current)));
  }

  /** Calls every listener. One that throws does not affect the others or the next poll. */
  private void forEachListener(Consumer<DeploymentListener> call) {
    for (DeploymentListener listener : listeners) {
      try {
        call.accept(listener);
      } catch (RuntimeException e) {
        log.write(LogEvent.UNEXPECTED_ERROR, e, "revision", history.revision());
      }
    }
  }

  private <T> void await(
      Supplier<CompletionStage<T>> call, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    CallWithTimeout.await(timer, PLATFORM_TIMEOUT, call, onValue, onFailure);
  }
}
