package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Distribution of the jobs of one request kind.
 *
 * @param name request kind
 * @param urgent whether its jobs take precedence over others
 * @param repeatable whether its tasks may be started more than once
 * @param minTasks smallest number of tasks of a job
 * @param maxTasks largest number of tasks of a job
 * @param minRunTime shortest run time on an upstream of the reference speed, without straggling
 * @param maxRunTime longest run time on an upstream of the reference speed, without straggling
 * @param deadline time from receipt at the entry VM until the answer is due
 * @param workShare share of this kind in the offered work
 */
record KindProfile(
    String name,
    boolean urgent,
    boolean repeatable,
    int minTasks,
    int maxTasks,
    Duration minRunTime,
    Duration maxRunTime,
    Duration deadline,
    double workShare) {

  int drawTasks(RandomGenerator random) {
    return random.nextInt(minTasks, maxTasks + 1);
  }

  /** Samples a run time in nanoseconds, log-uniform between the bounds. */
  long drawRunNanos(RandomGenerator random) {
    double low = Math.log((double) minRunTime.toNanos());
    double high = Math.log((double) maxRunTime.toNanos());
    return (long) Math.exp(low + (high - low) * random.nextDouble());
  }

  /** Returns the mean total run time of the tasks of a job, in nanoseconds. */
  double meanJobNanos() {
    double low = minRunTime.toNanos();
    double high = maxRunTime.toNanos();
    double meanTask = low == high ? low : (high - low) / Math.log(high / low);
    return meanTask * (minTasks + maxTasks) / 2.0;
  }
}
