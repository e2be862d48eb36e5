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
import org.lovagerack.fleet.support.LivingPeers;
import org.lovagerack.fleet.support.OwnedVm;
import org.lovagerack.fleet.support.SilentJobs;
import org.lovagerack.foundation.error.ErrorKind;

/** Plays a failure domain that is cut off from owner and store, and the end of the cut. */
final class IslandSeatTest {

  private static final EntryVm LOWEST = new EntryVm(new EntryId(5), "10.0.0.1:1", "a");

  private final FakeFleet fleet = new FakeFleet(6, Duration.ofMillis(200));
  private final Peers peers = new Peers();
  private final FakeFleet.Vm islander = fleet.vm("islander");
  private final EntryVm self = new EntryVm(islander.id, "10.0.0.2:1", "a");
  private final IslandSeat island =
      new IslandSeat(fleet.timer, peers, islander.parts, ShardRows.of(0), self);

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void learn(EntryVm... entries) {
    island.learn(
        new FleetView(1, fleet.workers.stream().map(FakeWorker::entry).toList(), List.of(entries)));
  }

  private void cut(FakeNetwork.Path path) {
    for (FakeWorker worker : fleet.workers) {
      boolean onIsland = worker.entry().failureDomain().equals("a");
      fleet.network.setPath(onIsland ? "owner" : "islander", worker, path);
    }
  }

  @Test
  void islandServesBestEffortJobsOnItsOwnWorkersOnly() {
    learn(self);
    assertThat(island.cutOff(1000)).isTrue();
    run(50);
    List<JobAnswer> kept = new ArrayList<>();
    List<JobAnswer> bestEffort = new ArrayList<>();
    JobService jobs = island.ownJobs().orElseThrow();
    jobs.submit(FakeFleet.job("kept", 2, 200, false), kept::add);
    jobs.submit(FakeFleet.job("quick", 6, 200, true), bestEffort::add);
    run(1000);

    assertThat(bestEffort).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(kept).hasSize(1);
    assertThat(((JobAnswer.Refused) kept.getFirst()).kind())
        .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    assertThat(fleet.observer.starts()).hasSize(6).allMatch(start -> start.startsWith("a"));
  }

  @Test
  void entryVmWithTheLowestAddressThatAnswersServesTheOthers() {
    peers.alive.add(LOWEST.address());
    learn(self, LOWEST);
    assertThat(island.cutOff(1000)).isTrue();
    run(50);

    assertThat(island.ownJobs()).isEmpty();
    assertThat(island.jobs()).isPresent();
    peers.alive.clear();
    run(400);
    assertThat(island.ownJobs()).isPresent();
  }

  @Test
  void withoutAViewThereIsNoIsland() {
    assertThat(island.cutOff(1000)).isFalse();
    assertThat(island.jobs()).isEmpty();
  }

  @Test
  void whenTheCutHealsTheOwnerTakesTheWorkersBackAndNothingRunsTwice() {
    OwnedVm owner = fleet.vm("owner").takeShard().orElseThrow();
    run(50);
    long tokenBefore = owner.shard().token();
    cut(FakeNetwork.Path.CUT);
    run(2000);
    learn(self);
    assertThat(island.cutOff(tokenBefore)).isTrue();
    run(50);
    List<JobAnswer> first = new ArrayList<>();
    island.ownJobs().orElseThrow().submit(FakeFleet.job("job-1", 4, 200, true), first::add);
    run(50);

    cut(FakeNetwork.Path.OPEN);
    island.reconnected();
    assertThat(first).containsExactly(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    run(60);
    List<JobAnswer> second = owner.submit(FakeFleet.job("job-1", 4, 200, true).asRepeated());
    run(3000);

    assertThat(second).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(owner.shard().token()).isGreaterThan(tokenBefore);
    assertThat(fleet.observer.problems()).isEmpty();
  }

  @Test
  void endsOfJobsThatTheOwnerStoredAreLeftToTheOwner() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(700)));
    OwnedVm owner = fleet.vm("owner").takeShard().orElseThrow();
    run(50);
    owner.submit(FakeFleet.job("kept", 6, 700, false));
    run(100);
    cut(FakeNetwork.Path.CUT);
    owner.vm().storeConnection.setFault(FakeStore.Fault.SILENT);
    // The reports that the owner waits for have run out when the tasks end.
    run(400);
    learn(self);
    assertThat(island.cutOff(owner.shard().token())).isTrue();
    run(1500);
    cut(FakeNetwork.Path.OPEN);
    island.reconnected();
    owner.vm().storeConnection.setFault(FakeStore.Fault.NONE);
    run(6000);

    assertThat(owner.state("kept")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.problems()).isEmpty();
  }

  @Test
  void unansweredStartIsExcludedAlsoIfAnIslandHasFencedItsWorker() {
    OwnedVm owner = fleet.vm("owner").takeShard().orElseThrow();
    run(50);
    FakeWorker late = fleet.workers.getFirst();
    fleet.network.setPath("owner", late, FakeNetwork.Path.LATE);
    owner.submit(FakeFleet.job("kept", 12, 200, false));
    run(50);
    learn(self);
    assertThat(island.cutOff(owner.shard().token())).isTrue();
    run(50);
    fleet.network.setPath("owner", late, FakeNetwork.Path.OPEN);
    run(300);
    island.reconnected();
    run(8000);

    assertThat(owner.state("kept")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.problems()).isEmpty();
  }

  @Test
  void jobThatTheIslandDoesNotKnowMayBeStored() {
    OwnedVm owner = fleet.vm("owner").takeShard().orElseThrow();
    run(50);
    owner.submit(FakeFleet.job("kept", 2, 200, false));
    run(50);
    learn(self);
    assertThat(island.cutOff(owner.shard().token())).isTrue();
    run(50);
    List<JobAnswer> answers = new ArrayList<>();
    JobService jobs = island.ownJobs().orElseThrow();
    jobs.state("kept", answers::add);
    jobs.cancel("kept", answers::add);
    run(50);

    assertThat(answers)
        .hasSize(2)
        .allMatch(
            answer ->
                answer instanceof JobAnswer.Refused refused
                    && refused.kind() == ErrorKind.PLATFORM_UNAVAILABLE);
  }

  private static final class Peers extends LivingPeers {
    private final Set<String> alive = new HashSet<>();

    @Override
    public void probe(
        String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
      callback.accept(alive.contains(address) ? new Alive(1) : new Silent());
    }

    @Override
    public JobService jobsAt(String address, long incarnation) {
      return new SilentJobs();
    }
  }
}
