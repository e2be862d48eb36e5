package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.List;
import org.lovagerack.fleet.configuration.Queue;

/** The time within which a caller wants a job to end. */
public final class Objective {

  /** A job is of use to its caller until so many times its objective. */
  private static final int USEFUL_OBJECTIVES = 3;

  private Objective() {}

  /** Returns the caller's estimate of the longest chain of tasks. */
  public static Duration estimatedChain(JobSpec spec) {
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

  /** Returns the objective: the chain, stretched as the queue allows, and a constant part. */
  public static Duration of(Queue queue, JobSpec spec) {
    long chain = (long) (estimatedChain(spec).toNanos() * queue.stretch());
    return Duration.ofNanos(chain).plus(queue.targetLatency());
  }

  /** Returns the time for which a job with an objective is of use to its caller. */
  public static Duration useful(Duration objective) {
    return objective.multipliedBy(USEFUL_OBJECTIVES);
  }

  /** Returns how long a job can wait for its start and still end while it is of use. */
  public static Duration timeToStart(Duration objective, JobSpec spec) {
    return useful(objective).minus(estimatedChain(spec));
  }
}
