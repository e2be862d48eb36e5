package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobSpec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.RouterProcesses;

/**
 * Labels move between workers of three shards while owners end, are stopped and lose the store.
 * Guards against tasks that run twice, and jobs that never end, because two shards believe that
 * they run a job, or none does.
 */
final class JobTransferRaceTest {

  private static final int SHARDS = 3;
  private static final int STEP_COUNT = 50;
  private static final List<FakeStore.Fault> FAULTS = List.of(FakeStore.Fault.values());
  private static final List<String> LABELS = List.of("", "left", "right");

  private final FakeFleet fleet = new FakeFleet(6, Duration.ofMillis(150));
  private final RouterProcesses processes =
      new RouterProcesses(fleet, fleet.workers.size() / SHARDS);
  private final Set<String> accepted = new HashSet<>();
  private int started;
  private int jobs;

  @Property(tries = 40, seed = "6", shrinking = ShrinkingMode.OFF)
  void durableJobsRunOnceAndEnd(@ForAll long seed) {
    new JobTransferRaceTest().play(seed);
  }

  private void play(long seed) {
    Random random = new Random(seed);
    start();
    start();
    start();
    moveLabels(random);
    fleet.timer.advance(Duration.ofSeconds(5));
    for (int step = 0; step < STEP_COUNT; step++) {
      fleet.timer.advance(Duration.ofMillis(random.nextInt(300)));
      disturb(random);
      assertThat(fleet.observer.violations()).as("seed %d", seed).isEmpty();
    }
    processes.vms().forEach(vm -> vm.storeConnection.setFault(FakeStore.Fault.NONE));
    processes
        .vms()
        .forEach(
            vm ->
                fleet.workers.forEach(
                    worker -> fleet.network.setPath(vm.name, worker, FakeNetwork.Path.OPEN)));
    setLabels(fleet.workers.getFirst(), Set.of("left"));
    setLabels(fleet.workers.getLast(), Set.of("right"));
    fleet.timer.advance(Duration.ofSeconds(60));

    assertThat(fleet.observer.violations()).as("seed %d", seed).isEmpty();
    Map<String, JobState> states = new HashMap<>();
    for (String id : accepted) {
      anyRouter(random)
          .state(
              id,
              answer -> {
                if (answer instanceof JobAnswer.State state) {
                  states.put(id, state.state());
                }
              });
    }
    fleet.timer.advance(Duration.ofMillis(100));
    assertThat(states.keySet()).as("seed %d", seed).isEqualTo(accepted);
    assertThat(states.values()).as("seed %d", seed).allMatch(JobState.COMPLETED::equals);
  }

  private void disturb(Random random) {
    List<String> names = processes.names();
    String name = names.get(random.nextInt(names.size()));
    FakeWorker worker = fleet.workers.get(random.nextInt(fleet.workers.size()));
    switch (random.nextInt(10)) {
      case 0 -> {
        processes.kill(name);
        start();
      }
      case 1 -> {
        processes.stop(name);
        start();
      }
      case 2 ->
          processes.vm(name).storeConnection.setFault(FAULTS.get(random.nextInt(FAULTS.size())));
      case 3 -> processes.vm(name).storeConnection.setFault(FakeStore.Fault.NONE);
      case 4 -> moveLabels(random);
      case 5 -> fleet.network.setPath(name, worker, FakeNetwork.Path.CUT);
      case 6 -> fleet.network.setPath(name, worker, FakeNetwork.Path.OPEN);
      default -> submit(random, name);
    }
  }

  private void submit(Random random, String name) {
    String id = "job-" + jobs++;
    List<StepSpec> steps = new ArrayList<>();
    for (int step = 0; step <= random.nextInt(2); step++) {
      steps.add(
          new StepSpec(
              1 + random.nextInt(3),
              new Resources(6800, 64, 0),
              Duration.ofMillis(150),
              step == 0 ? List.of() : List.of(step - 1),
              LABELS.get(random.nextInt(LABELS.size())),
              "",
              0));
    }
    Submission plain = FakeFleet.job(id, 1, 150, false);
    processes
        .router(name)
        .submit(
            new Submission(
                id,
                plain.queue(),
                new JobSpec("work", steps, false),
                plain.clientTimeout(),
                plain.entry(),
                false),
            answer -> {
              if (answer instanceof JobAnswer.Accepted) {
                accepted.add(id);
              }
            });
  }

  private JobRouter anyRouter(Random random) {
    List<String> names = processes.names();
    return processes.router(names.get(random.nextInt(names.size())));
  }

  private void moveLabels(Random random) {
    fleet.workers.forEach(worker -> setLabels(worker, Set.of()));
    for (String label : List.of("left", "right")) {
      setLabels(fleet.workers.get(random.nextInt(fleet.workers.size())), Set.of(label));
    }
  }

  private void setLabels(FakeWorker worker, Set<String> labels) {
    worker.setLabels(labels);
    fleet.list(worker);
  }

  private void start() {
    processes.start("vm-" + started++);
  }
}
