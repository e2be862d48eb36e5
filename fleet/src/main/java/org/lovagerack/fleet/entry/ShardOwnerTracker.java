package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.FormerWorkers;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.shard.NeighbourLoads;
import org.lovagerack.fleet.shard.OwnedShard;
import org.lovagerack.fleet.shard.ShardLease;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Tracks the owner of one shard, probes it, and takes over the shard when necessary: when the shard
 * has no owner, when the owner's process has ended, or when the owner does not answer and has not
 * renewed its lease for the duration of the lease.
 */
final class ShardOwnerTracker {

  /**
   * Interval of probes to the owner. An owner drops the jobs of an entry VM from which it has
   * received nothing for three intervals.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

  /** Unanswered probes after which the owner counts as unreachable. */
  private static final int UNREACHABLE_AFTER_PROBES = 2;

  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private static final EventLog LOG = new EventLog(ShardOwnerTracker.class);

  private final TimerService timer;
  private final PeerCalls peers;
  private final ShardLease lease;
  private final IslandController island;
  private final OwnerWorkers ownerWorkers;
  private final TakeoverScheduler takeovers;
  private final NeighbourLoads loads;
  private final int shard;
  private final Set<SubmissionRelay> relays = new LinkedHashSet<>();
  private LeaseRecord owner;
  private OwnedShard ownedShard;
  private boolean ownersLoaded;
  private boolean takeoverPending;
  private boolean probing;
  private boolean stopping;
  private int unansweredProbes;

  /** Whether the store could not be reached since the owner last answered. */
  private boolean cutOff;

  ShardOwnerTracker(
      TimerService timer,
      PeerCalls peers,
      ShardLease lease,
      IslandController island,
      OwnerWorkers ownerWorkers,
      TakeoverScheduler takeovers,
      NeighbourLoads loads,
      int shard) {
    this.timer = timer;
    this.peers = peers;
    this.lease = lease;
    this.island = island;
    this.ownerWorkers = ownerWorkers;
    this.takeovers = takeovers;
    this.loads = loads;
    this.shard = shard;
  }

  void start() {
    timer.every(PROBE_INTERVAL, this::checkOwner);
  }

  /** Handles a new or changed owner row of the store. */
  void ownerRowChanged(StoredRow row) {
    LeaseRecord stored;
    try {
      stored = LeaseRecord.decode(row.value());
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      return;
    }
    if (owner != null && stored.token() < owner.token()) {
      return;
    }
    boolean replaced = owner == null || !stored.sameTerm(owner);
    owner = stored;
    if (replaced) {
      ownerResponded();
    }
    LOG.write(
        LogEvent.SHARD_OWNER,
        "shard",
        shard,
        "token",
        stored.token(),
        "owner",
        stored.ownerAddress(),
        "version",
        row.version());
    if (ownedShard != null && !lease.isOwn(stored) && stored.token() >= ownedShard.token()) {
      closeOwnedShard();
    }
    // The relays were already notified when this process took over the shard.
    boolean ownTerm = ownedShard != null && lease.isOwn(stored);
    if (replaced && !ownTerm) {
      ownerReplaced();
    }
    if (stored.vacant()) {
      takeOver();
    }
  }

  /** Starts probing once all owner rows have been read; a stored owner may have ended long ago. */
  void ownersLoaded() {
    ownersLoaded = true;
    checkOwner();
  }

  /** Returns the job service of this process as the owner, of the island, or of the owner. */
  Optional<JobService> jobs() {
    if (ownedShard != null) {
      return Optional.of(ownedShard.jobs());
    }
    Optional<JobService> islandJobs = island.jobs();
    if (islandJobs.isPresent()) {
      return islandJobs;
    }
    if (owner == null || owner.vacant() || lease.isOwn(owner)) {
      return Optional.empty();
    }
    return Optional.of(peers.jobsAt(owner.ownerAddress(), owner.ownerIncarnation()));
  }

  /** Returns the shard's owner as the host of jobs of other shards. */
  Optional<JobHost> host() {
    if (ownedShard != null) {
      return Optional.of(ownedShard.host());
    }
    if (owner == null || owner.vacant() || lease.isOwn(owner)) {
      return Optional.empty();
    }
    return Optional.of(peers.hostAt(owner.ownerAddress(), owner.ownerIncarnation(), shard));
  }

  /** Returns the service for the jobs of this shard only, at its owner and not at an island. */
  Optional<JobService> shardJobs() {
    if (ownedShard != null) {
      return Optional.of(ownedShard.jobs());
    }
    if (owner == null || owner.vacant() || lease.isOwn(owner)) {
      return Optional.empty();
    }
    return Optional.of(peers.shardJobsAt(owner.ownerAddress(), owner.ownerIncarnation(), shard));
  }

  /** Counts the pending jobs of a queue in this shard only. */
  void pending(String queueName, Consumer<JobAnswer> callback) {
    Optional<JobService> jobs =
        localJobs()
            .or(
                () ->
                    island
                        .leader()
                        .map(vm -> peers.shardJobsAt(vm.address(), vm.id().incarnation(), shard)))
            .or(this::shardJobs);
    jobs.ifPresentOrElse(
        service -> service.pending(queueName, callback),
        () -> callback.accept(OwnerFailures.NO_OWNER));
  }

  /** Returns whether the owner is this process or has answered the last probe. */
  boolean acceptsRedirectedJobs() {
    return ownedShard != null || (shardJobs().isPresent() && !ownerUnresponsive());
  }

  boolean isOwner() {
    return ownedShard != null;
  }

  /** Returns the shard if this process owns it. */
  Optional<OwnedShard> ownedShard() {
    return Optional.ofNullable(ownedShard);
  }

  /** Returns the job service if this process serves the shard as its owner or island leader. */
  Optional<JobService> localJobs() {
    return ownedShard != null ? Optional.of(ownedShard.jobs()) : island.localJobs();
  }

  /** Returns whether calls for the shard can be forwarded to its owner or an island. */
  boolean reachable() {
    if (ownedShard != null) {
      return ownedShard.ready();
    }
    boolean ownerAnswers =
        owner != null && !owner.vacant() && unansweredProbes < UNREACHABLE_AFTER_PROBES;
    return ownerAnswers || island.jobs().isPresent();
  }

  /**
   * Returns whether the owner has not answered the last probe. No new job is sent to such an owner,
   * because the next owner can start a job at once only if no former owner may have received it.
   */
  boolean ownerUnresponsive() {
    return ownedShard == null && unansweredProbes > 0 && island.jobs().isEmpty();
  }

  /** Registers a submission in progress, which is notified when the owner is replaced. */
  void addRelay(SubmissionRelay relay) {
    relays.add(relay);
  }

  void removeRelay(SubmissionRelay relay) {
    relays.remove(relay);
  }

  /** Cancels a submission whose client has disconnected. */
  void abandon(Submission submission) {
    List.copyOf(relays).stream()
        .filter(relay -> relay.isFor(submission))
        .forEach(SubmissionRelay::abandon);
  }

  private void ownerReplaced() {
    List.copyOf(relays).forEach(relay -> relay.ownerReplaced(this));
  }

  /** Probes the owner after a call to it failed. */
  void suspectOwner() {
    checkOwner();
  }

  /** Releases the shard if this process owns it, and does not take it over again. */
  void release(Runnable callback) {
    stopping = true;
    if (ownedShard == null) {
      callback.run();
      return;
    }
    OwnedShard released = ownedShard;
    released.release(
        () -> {
          closeOwnedShard();
          callback.run();
        });
  }

  /**
   * Probes the owner. A VM that shuts down continues to do so, because owners drop the jobs of
   * entry VMs that stop sending probes.
   */
  private void checkOwner() {
    if (ownedShard != null || !ownersLoaded || probing) {
      return;
    }
    if (owner == null || owner.vacant()) {
      takeOver();
      return;
    }
    if (lease.isOwn(owner)) {
      // This process released the shard but could not store that, or lost it unnoticed.
      takeOverIfUnrenewed();
      return;
    }
    probing = true;
    LeaseRecord probed = owner;
    long sentNanos = timer.nanoTime();
    peers.probe(
        probed.ownerAddress(),
        probed.ownerIncarnation(),
        PROBE_TIMEOUT,
        liveness -> {
          probing = false;
          if (ownedShard == null && probed.equals(owner)) {
            handleProbe(probed, sentNanos, liveness);
          }
        });
  }

  private void handleProbe(LeaseRecord target, long sentNanos, PeerCalls.Liveness liveness) {
    switch (liveness) {
      case PeerCalls.Alive alive -> {
        ownerResponded();
        loads.record(shard, alive.loads());
        if (alive.viewVersion() == island.view().version()) {
          ownerWorkers.record(target, island.view().workersOf(shard), sentNanos);
        } else {
          requestView(target);
        }
      }
      case PeerCalls.ProcessEnded ended -> {
        unansweredProbes = UNREACHABLE_AFTER_PROBES;
        LOG.write(LogEvent.OWNER_GONE, "shard", shard, "owner", target.ownerAddress());
        if (cutOff) {
          // A partition may have refused the connection; the owner may still renew its lease.
          takeOverIfUnrenewed();
        } else {
          takeOver();
        }
      }
      case PeerCalls.TimedOut timedOut -> {
        unansweredProbes++;
        LOG.write(LogEvent.OWNER_SILENT, "shard", shard, "owner", target.ownerAddress());
        takeOverIfUnrenewed();
        if (unansweredProbes < UNREACHABLE_AFTER_PROBES) {
          checkOwner();
        }
      }
    }
  }

  private void requestView(LeaseRecord target) {
    long sentNanos = timer.nanoTime();
    peers.view(
        target.ownerAddress(),
        target.ownerIncarnation(),
        PROBE_TIMEOUT,
        newer -> {
          island.updateView(newer);
          if (ownedShard == null && target.equals(owner)) {
            ownerWorkers.record(target, newer.workersOf(shard), sentNanos);
          }
        });
  }

  /** Resets the failure state because the owner answered or was replaced. */
  private void ownerResponded() {
    unansweredProbes = 0;
    cutOff = false;
    island.end();
  }

  private void takeOverIfUnrenewed() {
    if (takeoverPending) {
      return;
    }
    takeoverPending = true;
    LeaseRecord expectedOwner = owner;
    timer.after(
        takeovers.delay(),
        () -> {
          if (takeoverNeeded(expectedOwner)) {
            lease.takeOverIfUnrenewed(this::takeoverFinished);
          } else {
            takeoverPending = false;
          }
        });
  }

  private void takeOver() {
    if (takeoverPending || ownedShard != null || stopping) {
      return;
    }
    takeoverPending = true;
    LeaseRecord expectedOwner = owner;
    takeovers.schedule(
        done -> {
          if (takeoverNeeded(expectedOwner)) {
            lease.takeOver(
                Optional.ofNullable(expectedOwner),
                result -> {
                  takeoverFinished(result);
                  done.run();
                });
          } else {
            takeoverPending = false;
            done.run();
          }
        });
  }

  /** Returns whether the shard still has the same failed owner and can be taken over. */
  private boolean takeoverNeeded(LeaseRecord expectedOwner) {
    return !stopping && ownedShard == null && Objects.equals(expectedOwner, owner);
  }

  private void takeoverFinished(ShardLease.Result result) {
    takeoverPending = false;
    switch (result) {
      case ShardLease.TakenOver taken -> {
        if (stopping) {
          taken.shard().release(() -> {});
          return;
        }
        island.end();
        ownedShard = taken.shard();
        FormerWorkers former =
            taken.firstTerm()
                ? FormerWorkers.complete(List.of())
                : ownerWorkers.before(taken.predecessor());
        ownedShard.start(former, this::closeOwnedShard);
        LOG.write(
            LogEvent.SHARD_TAKEN,
            "shard",
            shard,
            "token",
            ownedShard.token(),
            "formerWorkers",
            former.workers().size(),
            "complete",
            former.complete());
        ownerReplaced();
      }
      case ShardLease.OwnedByOther other -> {
        if (owner == null || other.record().token() > owner.token()) {
          owner = other.record();
          ownerResponded();
        }
      }
      case ShardLease.StoreUnreachable unreachable -> {
        cutOff = true;
        LOG.write(LogEvent.SHARD_NOT_TAKEN, "shard", shard, "reason", unreachable.reason());
        if (unansweredProbes >= UNREACHABLE_AFTER_PROBES && owner != null) {
          if (island.start(owner.token())) {
            ownerReplaced();
          }
        }
        timer.after(RETRY_DELAY, this::checkOwner);
      }
      case ShardLease.Undecided undecided -> {
        LOG.write(LogEvent.SHARD_NOT_TAKEN, "shard", shard, "reason", undecided.reason());
        timer.after(RETRY_DELAY, this::checkOwner);
      }
    }
  }

  private void closeOwnedShard() {
    if (ownedShard != null) {
      ownerWorkers.record(ownedShard.lease(), ownedShard.workers(), timer.nanoTime());
      ownedShard.close();
      ownedShard = null;
    }
  }
}
