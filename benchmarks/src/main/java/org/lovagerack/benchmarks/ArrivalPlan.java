package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Samples the jobs of a run. Every policy is measured with the same jobs. */
final class ArrivalPlan {

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double STRAGGLER_SHARE = 0.01;
  private static final double FAULT_STRAGGLER_SHARE = 0.05;
  private static final double IMPOSSIBLE_JOB_SHARE = 0.05;

  /**
   * Share of tasks whose declared run time is off by up to ten times in runs without that fault.
   */
  private static final double WRONG_RUN_TIME_SHARE = 0.1;

  private static final long CANCELLATION_WAVE_PERIOD_NANOS = 5 * SECOND_NANOS;

  private final Workload workload;
  private final Scenario scenario;
  private final long horizonNanos;
  private final RandomGenerator random;

  ArrivalPlan(Workload workload, Scenario scenario, Duration horizon, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.horizonNanos = horizon.toNanos();
    long workloadSeed = workload.user().hashCode() * 31L + scenario.name().hashCode();
    this.random = new SplittableRandom(Hash.mix(Hash.mix(seed) + workloadSeed));
  }

  /** Returns the jobs in the order in which they are sent. */
  List<PlannedJob> draw() {
    // At 70 % load, ordinary bursts stay just below the capacity, and bursts of the fault reach
    // twice the capacity.
    boolean burstFault = scenario.has(Fault.BURSTS);
    long burstNanos = burstFault ? SECOND_NANOS : SECOND_NANOS / 2;
    BurstSchedule bursts =
        new BurstSchedule(
            horizonNanos, 10 * SECOND_NANOS, burstNanos, burstFault ? 3 : 1.4, random);
    List<PlannedJob> jobs = new ArrayList<>();
    for (KindProfile kind : workload.kinds()) {
      drawKind(kind, bursts, jobs);
    }
    jobs.sort(Comparator.comparingLong(PlannedJob::sentNanos));
    return jobs;
  }

  private void drawKind(KindProfile kind, BurstSchedule bursts, List<PlannedJob> jobs) {
    double meanWork =
        kind.meanJobNanos() * (1 + stragglerShare() * (PlannedTask.STRAGGLER_FACTOR - 1));
    double rate = scenario.load() * workload.capacity() * kind.workShare() / meanWork;
    double time = 0;
    while (true) {
      time -= Math.log(1 - random.nextDouble()) / (rate * bursts.maxFactor());
      if (time >= horizonNanos) {
        return;
      }
      if (random.nextDouble() * bursts.maxFactor() < bursts.factorAt((long) time)) {
        jobs.add(drawJob(kind, (long) time, jobs.size()));
      }
    }
  }

  private PlannedJob drawJob(KindProfile kind, long time, int number) {
    boolean impossible =
        scenario.has(Fault.IMPOSSIBLE_JOBS) && random.nextDouble() < IMPOSSIBLE_JOB_SHARE;
    List<PlannedTask> tasks = new ArrayList<>();
    int count = kind.drawTasks(random);
    for (int i = 0; i < count; i++) {
      tasks.add(drawTask(kind, number + "/" + i));
    }
    long deadline = kind.deadline().toNanos();
    if (impossible) {
      long longest = tasks.stream().mapToLong(PlannedTask::runNanos).max().orElseThrow();
      deadline = (long) (longest / workload.fastest() / 2);
    }
    int vm = random.nextInt(workload.entryVms());
    return new PlannedJob(kind, time, vm, deadline, tasks, drawCancelNanos(time), impossible);
  }

  private PlannedTask drawTask(KindProfile kind, String key) {
    long runNanos = kind.drawRunNanos(random);
    boolean wrongRunTime =
        scenario.has(Fault.WRONG_RUN_TIMES) || random.nextDouble() < WRONG_RUN_TIME_SHARE;
    double exponent = (wrongRunTime ? 1 : 0.1) * (2 * random.nextDouble() - 1);
    Duration declared = Duration.ofNanos((long) (runNanos * Math.pow(10, exponent)));
    return new PlannedTask(
        key, kind.repeatable(), runNanos, declared, stragglerShare(), random.nextLong());
  }

  /** Returns when a job is cancelled: each wave cancels half of the jobs of the second before. */
  private long drawCancelNanos(long time) {
    if (!scenario.has(Fault.CANCELLATION_WAVES)) {
      return PlannedJob.NOT_CANCELLED;
    }
    long waveNanos = (time / CANCELLATION_WAVE_PERIOD_NANOS + 1) * CANCELLATION_WAVE_PERIOD_NANOS;
    boolean cancelled = waveNanos - time < SECOND_NANOS && random.nextBoolean();
    return cancelled ? waveNanos : PlannedJob.NOT_CANCELLED;
  }

  private double stragglerShare() {
    return scenario.has(Fault.STRAGGLERS) ? FAULT_STRAGGLER_SHARE : STRAGGLER_SHARE;
  }
}
