package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;

/**
 * Several VMs compete for one shard while the store, network paths and workers fail at random. No
 * task of a durable job may have two concurrent runs or run again after its result was
 * acknowledged. After all faults are cleared, each accepted job has to complete.
 */
final class OwnershipRaceTest {

  private static final int STEP_COUNT = 60;

  private static final int MAX_SECONDS_TO_END = 25;

  @Property(tries = 60, seed = "3", shrinking = ShrinkingMode.OFF)
  void durableJobsRunOnceAndEnd(@ForAll long seed) {
    play(seed, false);
  }

  @Property(tries = 60, seed = "4", shrinking = ShrinkingMode.OFF)
  void durableJobsEndAlthoughSomeCrashTheirWorkers(@ForAll long seed) {
    play(seed, true);
  }

  private static void play(long seed, boolean withCrashingJobs) {
    Random random = new Random(seed);
    FakeFleet fleet = new FakeFleet(4, Duration.ofMillis(120));
    List<FakeFleet.Vm> vms = List.of(fleet.vm("vm-0"), fleet.vm("vm-1"), fleet.vm("vm-2"));
    List<OwnerVm> owners = new ArrayList<>();
    List<String> accepted = new ArrayList<>();
    int jobs = 0;
    for (int step = 0; step < STEP_COUNT; step++) {
      fleet.timer.advance(Duration.ofMillis(random.nextInt(300)));
      FakeFleet.Vm vm = vms.get(random.nextInt(vms.size()));
      FakeWorker worker = fleet.workers.get(random.nextInt(fleet.workers.size()));
      switch (random.nextInt(9)) {
        case 0 -> vm.takeOverShard().ifPresent(owners::add);
        case 1 -> vm.storeConnection.setFault(randomValue(random, FakeStore.Fault.values()));
        case 2 -> vm.storeConnection.setFault(FakeStore.Fault.NONE);
        case 3 ->
            fleet.network.setPath(vm.name, worker, randomValue(random, FakeNetwork.Path.values()));
        case 4 -> fleet.network.setPath(vm.name, worker, FakeNetwork.Path.OPEN);
        case 5 -> {
          worker.restart();
          vms.forEach(each -> each.directory.put(worker.entry()));
        }
        default -> {
          if (!owners.isEmpty()) {
            String id = "job-" + jobs++;
            owners
                .get(random.nextInt(owners.size()))
                .shard()
                .jobs()
                .submit(
                    job(id, random, withCrashingJobs),
                    answer -> {
                      if (answer instanceof JobAnswer.Accepted) {
                        accepted.add(id);
                      }
                    });
          }
        }
      }
      assertThat(fleet.observer.violations()).as("seed %d", seed).isEmpty();
    }
    clearFaults(fleet, vms);
    Optional<OwnerVm> last = Optional.empty();
    for (int attempt = 0; attempt < 5 && last.isEmpty(); attempt++) {
      last = owners.stream().filter(owner -> !owner.lost()).reduce((one, other) -> other);
      if (last.isEmpty() || !last.get().shard().ready()) {
        last = vms.get(attempt % vms.size()).takeOverShard();
      }
    }
    assertThat(last).as("seed %d", seed).isPresent();
    Map<String, JobState> ends = new HashMap<>();
    for (int second = 0; second < MAX_SECONDS_TO_END; second++) {
      fleet.timer.advance(Duration.ofSeconds(1));
      recordEnds(fleet, last.get(), accepted, ends);
    }

    assertThat(fleet.observer.violations()).as("seed %d", seed).isEmpty();
    for (String id : accepted) {
      // A sound task under which two workers have crashed may fail like one that crashes them.
      boolean mayFail = withCrashingJobs && fleet.observer.mostCrashesOfATask(id) >= 2;
      assertThat(ends.get(id))
          .as("seed %d, %s", seed, id)
          .matches(
              end -> end == JobState.COMPLETED || (mayFail && end == JobState.FAILED), "has ended");
    }
  }

  /** Records the final states that are not known yet; an owner forgets them after two minutes. */
  private static void recordEnds(
      FakeFleet fleet, OwnerVm owner, List<String> jobs, Map<String, JobState> ends) {
    for (String id : jobs) {
      if (!ends.containsKey(id)) {
        List<JobAnswer> answers = owner.state(id);
        fleet.timer.advance(Duration.ofMillis(20));
        if (answers.size() == 1
            && answers.getFirst() instanceof JobAnswer.State answer
            && answer.state().ended()) {
          ends.put(id, answer.state());
        }
      }
    }
  }

  private static Submission job(String id, Random random, boolean mayCrash) {
    int tasks = 1 + random.nextInt(5);
    return mayCrash && random.nextInt(8) == 0
        ? FakeFleet.crashingJob(id, tasks, 120, false)
        : FakeFleet.job(id, tasks, 120, false);
  }

  private static void clearFaults(FakeFleet fleet, List<FakeFleet.Vm> vms) {
    for (FakeFleet.Vm vm : vms) {
      vm.storeConnection.setFault(FakeStore.Fault.NONE);
      fleet.workers.forEach(
          worker -> fleet.network.setPath(vm.name, worker, FakeNetwork.Path.OPEN));
    }
    fleet.timer.advance(Duration.ofSeconds(6));
  }

  private static <T> T randomValue(Random random, T[] values) {
    return values[random.nextInt(values.length)];
  }
}
