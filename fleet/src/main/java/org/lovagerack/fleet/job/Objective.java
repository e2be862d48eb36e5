package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.lovagerack.fleet.configuration.Queue;

/** Response time objective of a job: the time within which it should end. */
public final class Objective {

  /** Multiple of the objective after which the result of a job is useless to its caller. */
  private static final int USEFUL_TIME_FACTOR = 3;

  /** Largest objective in nanoseconds, so that sums with it do not overflow. */
  private static final double MAX_NANOS = Duration.ofDays(365).toNanos();

  private Objective() {}

  /**
   * Returns the estimated duration of the critical path, which is the longest sequence of dependent
   * steps.
   */
  public static Duration estimatedCriticalPath(JobSpec spec) {
    List<StepSpec> steps = spec.steps();
    long[] finish = new long[steps.size()];
    long longest = 0;
    for (int step = 0; step < finish.length; step++) {
      long start = 0;
      for (int earlier : steps.get(step).after()) {
        start = Math.max(start, finish[earlier]);
      }
      finish[step] = start + steps.get(step).estimatedDuration().toNanos();
      longest = Math.max(longest, finish[step]);
    }
    return Duration.ofNanos(longest);
  }

  /**
   * Returns, for each step, the estimated duration of the longest sequence of dependent steps that
   * starts with it.
   */
  public static List<Duration> estimatedPaths(JobSpec spec) {
    List<StepSpec> steps = spec.steps();
    long[] paths = new long[steps.size()];
    for (int step = paths.length - 1; step >= 0; step--) {
      // Steps depend only on earlier ones, so the longest path behind this one is known.
      paths[step] += steps.get(step).estimatedDuration().toNanos();
      for (int earlier : steps.get(step).after()) {
        paths[earlier] = Math.max(paths[earlier], paths[step]);
      }
    }
    return Arrays.stream(paths).mapToObj(Duration::ofNanos).toList();
  }

  /** Returns the objective: the critical path times the queue's factor plus its target latency. */
  public static Duration of(Queue queue, JobSpec spec) {
    long criticalPath =
        (long) Math.min(estimatedCriticalPath(spec).toNanos() * queue.stretch(), MAX_NANOS);
    return Duration.ofNanos(criticalPath).plus(queue.targetLatency());
  }

  /** Returns the time within which a job with an objective is useful to its caller. */
  public static Duration usefulTime(Duration objective) {
    return objective.multipliedBy(USEFUL_TIME_FACTOR);
  }

  /** Returns how long the start of a job can be delayed so that its result is still useful. */
  public static Duration maxStartDelay(Duration objective, JobSpec spec) {
    return usefulTime(objective).minus(estimatedCriticalPath(spec));
  }
}
