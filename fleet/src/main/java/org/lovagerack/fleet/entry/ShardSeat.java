package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.shard.OwnedShard;
import org.lovagerack.fleet.shard.ShardLease;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * One shard as this VM sees it: who owns it, whether that owner is alive, and when this VM is to
 * take it. A shard is taken when it is vacant, when the owner's process is gone, or when the owner
 * is silent and has not renewed its lease for as long as the lease lasts.
 */
final class ShardSeat {

  /** Period of the probes of the owner; a third of the silence after which it drops our jobs. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(300);

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

  /** Unanswered probes after which the owner counts as unreachable. */
  private static final int CERTAINLY_UNANSWERED = 2;

  private static final Duration RETRY = Duration.ofMillis(250);

  private static final EventLog LOG = new EventLog(ShardSeat.class);

  private final TimerService timer;
  private final PeerCalls peers;
  private final ShardLease lease;
  private final IslandSeat island;
  private final TakeoverTurns turns;
  private final int shard;
  private final Set<SubmissionRelay> relays = new LinkedHashSet<>();
  private LeaseRecord owner;
  private OwnedShard owned;
  private boolean loaded;
  private boolean taking;
  private boolean probing;
  private boolean retired;
  private int unanswered;

  ShardSeat(
      TimerService timer,
      PeerCalls peers,
      ShardLease lease,
      IslandSeat island,
      TakeoverTurns turns,
      int shard) {
    this.timer = timer;
    this.peers = peers;
    this.lease = lease;
    this.island = island;
    this.turns = turns;
    this.shard = shard;
  }

  void start() {
    timer.every(PROBE_PERIOD, this::checkOwner);
  }

  /** Takes what the store says about the owner. */
  void ownerStored(StoredRow row) {
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
    boolean replaced = owner == null || !stored.sameTenure(owner);
    owner = stored;
    if (replaced) {
      reached();
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
    if (owned != null && !lease.isOwn(stored) && stored.token() >= owned.token()) {
      dropOwned();
    }
    // The relays went over to this process when it took the shard.
    boolean ownTenure = owned != null && lease.isOwn(stored);
    if (replaced && !ownTenure) {
      ownerReplaced();
    }
    if (stored.vacant()) {
      take();
    }
  }

  /** The rows of all owners have been read; one that they name may be long gone. */
  void ownersLoaded() {
    loaded = true;
    checkOwner();
  }

  /** Returns the job service of the shard: the own one, or that of the owner. */
  Optional<JobService> jobs() {
    if (owned != null) {
      return Optional.of(owned.jobs());
    }
    Optional<JobService> cutOffJobs = island.jobs();
    if (cutOffJobs.isPresent()) {
      return cutOffJobs;
    }
    if (owner == null || owner.vacant() || lease.isOwn(owner)) {
      return Optional.empty();
    }
    return Optional.of(peers.jobsAt(owner.ownerAddress(), owner.ownerIncarnation()));
  }

  boolean owned() {
    return owned != null;
  }

  /** Returns the fencing token of this process as the owner, or 0. */
  long ownedToken() {
    return owned == null ? 0 : owned.token();
  }

  /** Returns the service of the shard if this process serves it, as its owner or on an island. */
  Optional<JobService> ownJobs() {
    return owned != null ? Optional.of(owned.jobs()) : island.ownJobs();
  }

  /** Returns whether calls for the shard have somewhere to go. */
  boolean reachable() {
    if (owned != null) {
      return owned.ready();
    }
    boolean ownerAnswers = owner != null && !owner.vacant() && unanswered < CERTAINLY_UNANSWERED;
    return ownerAnswers || island.jobs().isPresent();
  }

  /**
   * Returns whether the owner has left a probe unanswered. A job that is not sent to it is new to
   * the next owner and can start there at once.
   */
  boolean ownerSilent() {
    return owned == null && unanswered > 0 && island.jobs().isEmpty();
  }

  /** Adds a submission that is under way, to be told when the owner is replaced. */
  void addRelay(SubmissionRelay relay) {
    relays.add(relay);
  }

  void removeRelay(SubmissionRelay relay) {
    relays.remove(relay);
  }

  /** Ends a submission whose client is gone. */
  void abandon(Submission submission) {
    List.copyOf(relays).stream()
        .filter(relay -> relay.isFor(submission))
        .forEach(SubmissionRelay::abandon);
  }

  private void ownerReplaced() {
    List.copyOf(relays).forEach(SubmissionRelay::ownerReplaced);
  }

  /** A call to the owner failed. */
  void suspectOwner() {
    checkOwner();
  }

  /** Gives the shard up and takes it no more. */
  void retire(Runnable callback) {
    retired = true;
    if (owned == null) {
      callback.run();
      return;
    }
    OwnedShard leaving = owned;
    leaving.release(
        () -> {
          dropOwned();
          callback.run();
        });
  }

  /** Probes the owner; a VM that stops does so too, because owners drop the jobs of silent VMs. */
  private void checkOwner() {
    if (owned != null || !loaded || probing) {
      return;
    }
    if (owner == null || owner.vacant()) {
      take();
      return;
    }
    if (lease.isOwn(owner)) {
      // This process gave the shard up without being able to say so, or lost it unseen.
      takeIfUnrenewed();
      return;
    }
    probing = true;
    LeaseRecord probed = owner;
    peers.probe(
        probed.ownerAddress(),
        probed.ownerIncarnation(),
        PROBE_TIMEOUT,
        liveness -> {
          probing = false;
          if (owned == null && probed.equals(owner)) {
            probed(probed, liveness);
          }
        });
  }

  private void probed(LeaseRecord target, PeerCalls.Liveness liveness) {
    switch (liveness) {
      case PeerCalls.Alive alive -> {
        reached();
        if (alive.viewVersion() != island.view().version()) {
          peers.view(
              target.ownerAddress(), target.ownerIncarnation(), PROBE_TIMEOUT, island::learn);
        }
      }
      case PeerCalls.Gone gone -> {
        unanswered = CERTAINLY_UNANSWERED;
        LOG.write(LogEvent.OWNER_GONE, "shard", shard, "owner", target.ownerAddress());
        take();
      }
      case PeerCalls.Silent silent -> {
        unanswered++;
        LOG.write(LogEvent.OWNER_SILENT, "shard", shard, "owner", target.ownerAddress());
        takeIfUnrenewed();
        if (unanswered < CERTAINLY_UNANSWERED) {
          checkOwner();
        }
      }
    }
  }

  /** The owner is known to be alive, or is a new one. */
  private void reached() {
    unanswered = 0;
    island.reconnected();
  }

  private void takeIfUnrenewed() {
    if (taking) {
      return;
    }
    taking = true;
    LeaseRecord silent = owner;
    timer.after(
        turns.delay(),
        () -> {
          if (wanted(silent)) {
            lease.takeIfUnrenewed(this::takeEnded);
          } else {
            taking = false;
          }
        });
  }

  private void take() {
    if (taking || owned != null || retired) {
      return;
    }
    taking = true;
    LeaseRecord believed = owner;
    turns.add(
        ended -> {
          if (wanted(believed)) {
            lease.take(
                Optional.ofNullable(believed),
                result -> {
                  takeEnded(result);
                  ended.run();
                });
          } else {
            taking = false;
            ended.run();
          }
        });
  }

  /** Returns whether the shard is still to be taken from the owner that was believed to be gone. */
  private boolean wanted(LeaseRecord from) {
    return !retired && owned == null && Objects.equals(from, owner);
  }

  private void takeEnded(ShardLease.Result result) {
    taking = false;
    switch (result) {
      case ShardLease.Taken taken -> {
        if (retired) {
          taken.shard().release(() -> {});
          return;
        }
        island.reconnected();
        owned = taken.shard();
        owned.start(island.knownWorkers(), this::dropOwned);
        LOG.write(LogEvent.SHARD_TAKEN, "shard", shard, "token", owned.token());
        ownerReplaced();
      }
      case ShardLease.HeldByOther other -> {
        if (owner == null || other.record().token() > owner.token()) {
          owner = other.record();
          reached();
        }
      }
      case ShardLease.StoreUnreachable unreachable -> {
        LOG.write(LogEvent.SHARD_NOT_TAKEN, "shard", shard, "reason", unreachable.reason());
        if (unanswered >= CERTAINLY_UNANSWERED && owner != null) {
          if (island.cutOff(owner.token())) {
            ownerReplaced();
          }
        }
        timer.after(RETRY, this::checkOwner);
      }
      case ShardLease.Undecided undecided -> {
        LOG.write(LogEvent.SHARD_NOT_TAKEN, "shard", shard, "reason", undecided.reason());
        timer.after(RETRY, this::checkOwner);
      }
    }
  }

  private void dropOwned() {
    if (owned != null) {
      owned.close();
      owned = null;
    }
  }
}
