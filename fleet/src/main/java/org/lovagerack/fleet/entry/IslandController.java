package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.shard.FencingTokens;
import org.lovagerack.fleet.shard.Island;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Runs the island of a failure domain that is cut off from the shard's owner and from the store.
 * The reachable entry VM with the lowest address leads the island: it serves the jobs of the other
 * entry VMs on the workers of the failure domain. Its fencing token is higher than the owner's and
 * lower than the next token that the store grants, so the owner regains control of the workers when
 * the partition ends.
 */
final class IslandController {

  private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

  private static final EventLog LOG = new EventLog(IslandController.class);

  private final TimerService timer;
  private final PeerCalls peers;
  private final OwnedShardFactory shardFactory;
  private final ShardRows rows;
  private final EntryVm self;
  private FleetView view = FleetView.EMPTY;
  private boolean cutOff;
  private long generation;
  private Island island;
  private Optional<EntryVm> leader = Optional.empty();

  IslandController(
      TimerService timer,
      PeerCalls peers,
      OwnedShardFactory shardFactory,
      ShardRows rows,
      EntryVm self) {
    this.timer = timer;
    this.peers = peers;
    this.shardFactory = shardFactory;
    this.rows = rows;
    this.self = self;
  }

  /** Replaces the view of the fleet by a newer one from the owner. */
  void updateView(FleetView newer) {
    view = newer;
  }

  FleetView view() {
    return view;
  }

  /**
   * Starts an island because neither the owner nor the store can be reached. Does nothing if there
   * is one already, or if the failure domain has no known workers.
   *
   * @param token last known fencing token of the owner
   * @return whether an island was started
   */
  boolean start(long token) {
    if (cutOff || workers().isEmpty()) {
      return false;
    }
    cutOff = true;
    generation++;
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
    chooseLeader(token, generation);
    return true;
  }

  /** Ends the island because the owner or the store can be reached again. */
  void end() {
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

  /** Returns the job service of the island; empty while there is none. */
  Optional<JobService> jobs() {
    if (island != null) {
      return Optional.of(island.jobs());
    }
    return leader.map(vm -> peers.jobsAt(vm.address(), vm.id().incarnation()));
  }

  /** Returns the process that leads the island; empty if there is none or this one leads it. */
  Optional<EntryVm> leader() {
    return leader;
  }

  /** Returns the job service of the island if this process leads it. */
  Optional<JobService> localJobs() {
    return Optional.ofNullable(island).map(Island::jobs);
  }

  private void chooseLeader(long token, long startedGeneration) {
    if (cutOff && startedGeneration == generation) {
      timer.after(PROBE_INTERVAL, () -> chooseLeader(token, startedGeneration));
      probeNext(candidates(), 0, token, startedGeneration);
    }
  }

  private void probeNext(List<EntryVm> candidates, int rank, long token, long startedGeneration) {
    EntryVm candidate = candidates.get(rank);
    if (candidate.equals(self)) {
      serve(FencingTokens.island(token, rank));
      return;
    }
    peers.probe(
        candidate.address(),
        candidate.id().incarnation(),
        PROBE_TIMEOUT,
        liveness -> {
          if (!cutOff || startedGeneration != generation) {
            return;
          }
          if (liveness instanceof PeerCalls.Alive) {
            leader = Optional.of(candidate);
          } else {
            probeNext(candidates, rank + 1, token, startedGeneration);
          }
        });
  }

  private void serve(long token) {
    leader = Optional.empty();
    if (island != null) {
      return;
    }
    WorkerDirectory directory = new WorkerDirectory();
    workers().forEach(directory::put);
    island = new Island(shardFactory, rows, token, directory);
    island.start();
  }

  /** Returns the known entry VMs of the failure domain and this one, sorted by address. */
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
                    && shardFactory.mayUse().test(worker.id()))
        .toList();
  }
}
