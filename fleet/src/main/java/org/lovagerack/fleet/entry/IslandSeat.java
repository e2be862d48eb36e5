package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.shard.FencingTokens;
import org.lovagerack.fleet.shard.Island;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Serves a shard within a failure domain that is cut off from the shard's owner and from the store.
 * The entry VM with the lowest address that answers serves the others, with the workers of the
 * failure domain. Its fencing token lies above the owner's and below the next one that the store
 * grants, so that the owner takes the workers back when the cut heals.
 */
final class IslandSeat {

  private static final Duration PROBE_PERIOD = Duration.ofMillis(300);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

  private static final EventLog LOG = new EventLog(IslandSeat.class);

  private final TimerService timer;
  private final PeerCalls peers;
  private final OwnedShardFactory parts;
  private final ShardRows rows;
  private final EntryVm self;
  private FleetView view = FleetView.EMPTY;
  private boolean cutOff;
  private long cuts;
  private Island island;
  private Optional<EntryVm> leader = Optional.empty();

  IslandSeat(
      TimerService timer, PeerCalls peers, OwnedShardFactory parts, ShardRows rows, EntryVm self) {
    this.timer = timer;
    this.peers = peers;
    this.parts = parts;
    this.rows = rows;
    this.self = self;
  }

  /** Takes a newer view of the fleet from the owner. */
  void learn(FleetView newer) {
    view = newer;
  }

  /** Returns the workers that earlier owners may have used, as far as this VM knows. */
  Collection<WorkerEntry> knownWorkers() {
    Map<WorkerId, WorkerEntry> known = new HashMap<>();
    view.workers().forEach(worker -> known.put(worker.id(), worker));
    parts.workers().directory().entries().forEach(worker -> known.put(worker.id(), worker));
    return known.values();
  }

  FleetView view() {
    return view;
  }

  /**
   * Neither the owner nor the store can be reached.
   *
   * @param token last known token of the owner
   * @return whether the island is new
   */
  boolean cutOff(long token) {
    if (cutOff || workers().isEmpty()) {
      return false;
    }
    cutOff = true;
    cuts++;
    LOG.write(
        LogEvent.ISLAND_STARTED,
        "partition",
        rows.partition(),
        "token",
        token,
        "view",
        view.version(),
        "workers",
        workers().size());
    chooseLeader(token, cuts);
    return true;
  }

  /** The owner or the store can be reached again. */
  void reconnected() {
    if (!cutOff) {
      return;
    }
    cutOff = false;
    leader = Optional.empty();
    LOG.write(LogEvent.ISLAND_ENDED, "partition", rows.partition());
    if (island != null) {
      island.close();
      island = null;
    }
  }

  /** Returns the service of the island; empty while there is none. */
  Optional<JobService> jobs() {
    if (island != null) {
      return Optional.of(island.jobs());
    }
    return leader.map(vm -> peers.jobsAt(vm.address(), vm.id().incarnation()));
  }

  /** Returns the service of the island if this process serves it. */
  Optional<JobService> ownJobs() {
    return Optional.ofNullable(island).map(Island::jobs);
  }

  private void chooseLeader(long token, long cut) {
    if (cutOff && cut == cuts) {
      probeNext(candidates(), 0, token, cut);
      timer.after(PROBE_PERIOD, () -> chooseLeader(token, cut));
    }
  }

  private void probeNext(List<EntryVm> candidates, int rank, long token, long cut) {
    EntryVm candidate = candidates.get(rank);
    if (candidate.equals(self)) {
      lead(FencingTokens.island(token, rank));
      return;
    }
    peers.probe(
        candidate.address(),
        candidate.id().incarnation(),
        PROBE_TIMEOUT,
        liveness -> {
          if (!cutOff || cut != cuts) {
            return;
          }
          if (liveness instanceof PeerCalls.Alive) {
            leader = Optional.of(candidate);
          } else {
            probeNext(candidates, rank + 1, token, cut);
          }
        });
  }

  private void lead(long token) {
    leader = Optional.empty();
    if (island != null) {
      return;
    }
    WorkerDirectory directory = new WorkerDirectory();
    workers().forEach(directory::put);
    island = new Island(parts, rows, token, directory);
    island.start();
  }

  /** Returns the entry VMs of the failure domain by address; this one is always among them. */
  private List<EntryVm> candidates() {
    List<EntryVm> candidates = new ArrayList<>();
    candidates.add(self);
    for (EntryVm vm : view.entries()) {
      if (!vm.equals(self)) {
        candidates.add(vm);
      }
    }
    candidates.sort(Comparator.comparing(EntryVm::address));
    return candidates;
  }

  private List<WorkerEntry> workers() {
    return view.workers().stream()
        .filter(
            worker ->
                worker.failureDomain().equals(self.failureDomain())
                    && parts.mayUse().test(worker.id()))
        .toList();
  }
}
