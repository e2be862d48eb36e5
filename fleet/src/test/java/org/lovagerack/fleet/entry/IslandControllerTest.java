package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;
import org.lovagerack.fleet.support.RespondingPeers;
import org.lovagerack.fleet.support.UnresponsiveJobService;
import org.lovagerack.foundation.error.ErrorKind;

/**
 * Simulates a failure domain that is cut off from the owner and the store, and its reconnection.
 */
final class IslandControllerTest {

  private static final EntryVm LOWEST = new EntryVm(new EntryId(5), "10.0.0.1:1", "a");

  private final FakeFleet fleet = new FakeFleet(6, Duration.ofMillis(200));
  private final Peers peers = new Peers();
  private final FakeFleet.Vm islandVm = fleet.vm("island");
  private final EntryVm self = new EntryVm(islandVm.id, "10.0.0.2:1", "a");
  private final IslandController island =
      new IslandController(fleet.timer, peers, islandVm.shardFactory, ShardRows.of(0), self);

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void updateView(EntryVm... entries) {
    island.updateView(
        new FleetView(1, fleet.workers.stream().map(FakeWorker::entry).toList(), List.of(entries)));
  }

  private void setPaths(FakeNetwork.Path path) {
    for (FakeWorker worker : fleet.workers) {
      boolean onIsland = worker.entry().failureDomain().equals("a");
      fleet.network.setPath(onIsland ? "owner" : "island", worker, path);
    }
  }

  @Test
  void islandRunsOnlyBestEffortJobsAndOnlyOnItsOwnWorkers() {
    updateView(self);
    assertThat(island.start(1000)).isTrue();
    run(50);
    List<JobAnswer> stored = new ArrayList<>();
    List<JobAnswer> bestEffort = new ArrayList<>();
    JobService jobs = island.localJobs().orElseThrow();
    jobs.submit(FakeFleet.job("stored", 2, 200, false), stored::add);
    jobs.submit(FakeFleet.job("best-effort", 6, 200, true), bestEffort::add);
    run(1000);

    assertThat(bestEffort).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(stored).hasSize(1);
    assertThat(((JobAnswer.Refused) stored.getFirst()).kind())
        .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    assertThat(fleet.observer.starts()).hasSize(6).allMatch(start -> start.startsWith("a"));
  }

  @Test
  void respondingEntryVmWithTheLowestAddressServesTheIsland() {
    peers.alive.add(LOWEST.address());
    updateView(self, LOWEST);
    assertThat(island.start(1000)).isTrue();
    run(50);

    assertThat(island.localJobs()).isEmpty();
    assertThat(island.jobs()).isPresent();
    peers.alive.clear();
    run(400);
    assertThat(island.localJobs()).isPresent();
  }

  @Test
  void noIslandStartsWithoutAView() {
    assertThat(island.start(1000)).isFalse();
    assertThat(island.jobs()).isEmpty();
  }

  @Test
  void ownerRegainsTheWorkersAfterAPartitionAndNothingRunsTwice() {
    OwnerVm owner = fleet.vm("owner").takeOverShard().orElseThrow();
    run(50);
    long tokenBefore = owner.shard().token();
    setPaths(FakeNetwork.Path.CUT);
    run(2000);
    updateView(self);
    assertThat(island.start(tokenBefore)).isTrue();
    run(50);
    List<JobAnswer> first = new ArrayList<>();
    island.localJobs().orElseThrow().submit(FakeFleet.job("job-1", 4, 200, true), first::add);
    run(50);

    setPaths(FakeNetwork.Path.OPEN);
    island.end();
    assertThat(first).containsExactly(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    run(60);
    List<JobAnswer> second = owner.submit(FakeFleet.job("job-1", 4, 200, true).asRepeated());
    run(3000);

    assertThat(second).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(owner.shard().token()).isGreaterThan(tokenBefore);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void islandLeavesResultsOfDurableJobsToTheOwner() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(700)));
    OwnerVm owner = fleet.vm("owner").takeOverShard().orElseThrow();
    run(50);
    owner.submit(FakeFleet.job("stored", 6, 700, false));
    run(100);
    setPaths(FakeNetwork.Path.CUT);
    owner.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    // The report requests of the owner have timed out when the tasks end.
    run(400);
    updateView(self);
    assertThat(island.start(owner.shard().token())).isTrue();
    run(1500);
    setPaths(FakeNetwork.Path.OPEN);
    island.end();
    owner.vm().storeConnection.setFault(FakeStore.Fault.NONE);
    run(6000);

    assertThat(owner.state("stored")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void unansweredStartCannotRunLaterAfterAnIslandFencedItsWorker() {
    OwnerVm owner = fleet.vm("owner").takeOverShard().orElseThrow();
    run(50);
    FakeWorker late = fleet.workers.getFirst();
    fleet.network.setPath("owner", late, FakeNetwork.Path.LATE);
    owner.submit(FakeFleet.job("stored", 12, 200, false));
    run(50);
    updateView(self);
    assertThat(island.start(owner.shard().token())).isTrue();
    run(50);
    fleet.network.setPath("owner", late, FakeNetwork.Path.OPEN);
    run(300);
    island.end();
    run(8000);

    assertThat(owner.state("stored")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void islandRefusesCallsForUnknownJobs() {
    OwnerVm owner = fleet.vm("owner").takeOverShard().orElseThrow();
    run(50);
    owner.submit(FakeFleet.job("stored", 2, 200, false));
    run(50);
    updateView(self);
    assertThat(island.start(owner.shard().token())).isTrue();
    run(50);
    List<JobAnswer> answers = new ArrayList<>();
    JobService jobs = island.localJobs().orElseThrow();
    jobs.state("stored", answers::add);
    jobs.cancel("stored", answers::add);
    run(50);

    assertThat(answers)
        .hasSize(2)
        .allMatch(
            answer ->
                answer instanceof JobAnswer.Refused refused
                    && refused.kind() == ErrorKind.PLATFORM_UNAVAILABLE);
  }

  private static final class Peers extends RespondingPeers {
    private final Set<String> alive = new HashSet<>();

    @Override
    public void probe(
        String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
      callback.accept(alive.contains(address) ? new Alive(1) : new TimedOut());
    }

    @Override
    public JobService jobsAt(String address, long incarnation) {
      return new UnresponsiveJobService();
    }
  }
}
