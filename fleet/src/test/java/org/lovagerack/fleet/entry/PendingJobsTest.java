package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobSpec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.ShardMap;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.RouterProcesses;

/**
 * Stored jobs wait for a worker with a label, which only one shard has. Guards against jobs that
 * are missing from the count of pending jobs, or shown as running, although no task of them has
 * started.
 */
final class PendingJobsTest {

  private static final Duration TASK_TIME = Duration.ofSeconds(60);
  private static final int SHARDS = 2;
  private static final int JOBS = 12;
  private static final String LABEL = "rare";
  private static final ShardMap MAP = new ShardMap(SHARDS);

  private final FakeFleet fleet = new FakeFleet(6, TASK_TIME);
  private final RouterProcesses processes =
      new RouterProcesses(fleet, fleet.workers.size() / SHARDS);

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void start(String name) {
    processes.start(name);
    run(5000);
  }

  private FakeWorker workerOfShard(int shard) {
    return fleet.workers.stream()
        .filter(worker -> MAP.ofWorker(worker.entry().id()) == shard)
        .findFirst()
        .orElseThrow();
  }

  private void setLabels(FakeWorker worker, String label) {
    worker.setLabels(Set.of(label));
    fleet.list(worker);
  }

  private static List<String> jobs() {
    return IntStream.range(0, JOBS).mapToObj(job -> "job-" + job).toList();
  }

  /** Submits jobs of which the worker has room for two. */
  private void submitJobs(String vm) {
    StepSpec step = new StepSpec(1, new Resources(6800, 64, 0), TASK_TIME, List.of(), LABEL, "", 0);
    List<JobAnswer> answers = new ArrayList<>();
    for (String id : jobs()) {
      Submission plain = FakeFleet.job(id, 1, TASK_TIME.toMillis(), false);
      processes
          .router(vm)
          .submit(
              new Submission(
                  id,
                  plain.queue(),
                  new JobSpec("work", List.of(step), false),
                  plain.clientTimeout(),
                  plain.entry(),
                  false),
              answers::add);
    }
    run(3000);
    assertThat(answers).hasSize(JOBS).containsOnly(new JobAnswer.Accepted());
  }

  private Set<String> startedJobs() {
    return jobs().stream()
        .filter(
            id -> fleet.observer.starts().stream().anyMatch(run -> run.contains("=" + id + ",")))
        .collect(Collectors.toSet());
  }

  /** Asserts what a VM says of each job, and of their number. */
  private void assertStatesAndCount(String vm) {
    Set<String> started = startedJobs();
    Map<String, JobAnswer> expected = new HashMap<>();
    Map<String, JobAnswer> states = new HashMap<>();
    for (String id : jobs()) {
      expected.put(
          id, new JobAnswer.State(started.contains(id) ? JobState.RUNNING : JobState.QUEUED));
      processes.router(vm).state(id, answer -> states.put(id, answer));
    }
    List<JobAnswer> counts = new ArrayList<>();
    processes.router(vm).pending(FakeFleet.QUEUE.name(), counts::add);
    run(50);

    assertThat(states).isEqualTo(expected);
    assertThat(counts).containsExactly(new JobAnswer.Pending(JOBS - started.size()));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void jobsThatWaitInAnotherShardStayPendingAfterPlannedStops() {
    start("one");
    setLabels(workerOfShard(0), LABEL);
    submitJobs("one");
    assertThat(startedJobs()).hasSize(2);
    for (String next : List.of("two", "three")) {
      String before = processes.names().getFirst();
      start(next);
      processes.stop(before);
      run(4000);

      assertStatesAndCount(next);
    }
  }

  @Test
  void jobsThatWaitInAnotherShardStayPendingAfterATakeover() {
    start("one");
    setLabels(workerOfShard(0), LABEL);
    submitJobs("one");
    start("two");
    processes.kill("one");
    run(6000);

    assertStatesAndCount("two");
  }

  /** The label moves to a worker of the other shard, so the waiting jobs change their shard. */
  @Test
  void jobsThatWereReturnedWithoutARunStayPending() {
    start("one");
    setLabels(workerOfShard(0), LABEL);
    submitJobs("one");
    setLabels(workerOfShard(0), "other");
    setLabels(workerOfShard(1), LABEL);
    run(6000);
    assertThat(startedJobs()).hasSize(4);
    assertStatesAndCount("one");
    start("two");
    processes.stop("one");
    run(4000);

    assertStatesAndCount("two");
  }

  /** Guards against jobs that are counted once for each shard of their VM. */
  @Test
  void jobsOfAVmThatOwnsSeveralShardsAreCountedOnce() {
    start("one");
    setLabels(workerOfShard(0), LABEL);
    submitJobs("one");
    start("two");
    assertThat(processes.router("one").ownedShards()).isEqualTo(SHARDS);

    assertStatesAndCount("two");
  }
}
