package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Draws the jobs of a run; every policy of a row gets the same ones. */
final class ArrivalPlan {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final double STRAGGLER_SHARE = 0.01;
  private static final double STRAGGLER_SHARE_FAULT = 0.05;
  private static final double IMPOSSIBLE_SHARE = 0.05;

  /** Share of tasks whose declared run time is off by up to ten times without the fault. */
  private static final double WRONG_SHARE = 0.1;

  private static final long WAVE_PERIOD = 5 * SECOND;

  private final Workload workload;
  private final Scenario scenario;
  private final long horizonNanos;
  private final RandomGenerator random;

  ArrivalPlan(Workload workload, Scenario scenario, Duration horizon, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.horizonNanos = horizon.toNanos();
    long own = workload.user().hashCode() * 31L + scenario.name().hashCode();
    this.random = new SplittableRandom(Hash.mix(Hash.mix(seed) + own));
  }

  /** Returns the jobs in order of arrival. */
  List<PlannedJob> draw() {
    // At 70 % load, ordinary bursts stay just below the capacity, and those of the fault are twice
    // it.
    boolean strong = scenario.has(Fault.BURSTS);
    long length = strong ? SECOND : SECOND / 2;
    BurstSchedule bursts =
        new BurstSchedule(horizonNanos, 10 * SECOND, length, strong ? 3 : 1.4, random);
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
      time -= Math.log(1 - random.nextDouble()) / (rate * bursts.highestFactor());
      if (time >= horizonNanos) {
        return;
      }
      if (random.nextDouble() * bursts.highestFactor() < bursts.factorAt((long) time)) {
        jobs.add(drawJob(kind, (long) time, jobs.size()));
      }
    }
  }

  private PlannedJob drawJob(KindProfile kind, long time, int number) {
    boolean impossible =
        scenario.has(Fault.IMPOSSIBLE_JOBS) && random.nextDouble() < IMPOSSIBLE_SHARE;
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
    return new PlannedJob(kind, time, vm, deadline, tasks, drawCancel(time), impossible);
  }

  private PlannedTask drawTask(KindProfile kind, String key) {
    long run = kind.drawRunNanos(random);
    boolean wrong = scenario.has(Fault.WRONG_RUN_TIMES) || random.nextDouble() < WRONG_SHARE;
    double exponent = (wrong ? 1 : 0.1) * (2 * random.nextDouble() - 1);
    Duration declared = Duration.ofNanos((long) (run * Math.pow(10, exponent)));
    return new PlannedTask(
        key, kind.repeatable(), run, declared, stragglerShare(), random.nextLong());
  }

  /** Half of the jobs that arrive in the second before a wave are cancelled by it. */
  private long drawCancel(long time) {
    if (!scenario.has(Fault.CANCELLATION_WAVES)) {
      return PlannedJob.NOT_CANCELLED;
    }
    long wave = (time / WAVE_PERIOD + 1) * WAVE_PERIOD;
    boolean cancelled = wave - time < SECOND && random.nextBoolean();
    return cancelled ? wave : PlannedJob.NOT_CANCELLED;
  }

  private double stragglerShare() {
    return scenario.has(Fault.STRAGGLERS) ? STRAGGLER_SHARE_FAULT : STRAGGLER_SHARE;
  }
}
