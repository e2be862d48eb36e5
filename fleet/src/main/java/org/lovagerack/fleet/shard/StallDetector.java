package org.lovagerack.fleet.shard;

import java.time.Duration;

/**
 * Detects runs that stand still. Answers the load of workers that report good health while the
 * tasks on them make no progress: without it, their callers wait until their deadlines. Progress is
 * judged only once some run has reported a part of its work as done, because not all tasks report
 * any.
 */
final class StallDetector {

  /** Covers the resolution of the reported progress for short tasks. */
  private static final Duration MIN_UNCHANGED = Duration.ofMillis(200);

  /**
   * Part of the estimate for which the progress must be the same. A task that takes 25 times its
   * estimate still advances by one percent in that time.
   */
  private static final int ESTIMATE_DIVISOR = 4;

  private static final int COMPLETE = 100;

  private boolean progressSeen;

  /**
   * Returns whether a run stands still.
   *
   * @param percent reported progress, 0 to 100
   * @param unchangedFor time for which the progress has been the same
   * @param estimate the caller's estimate of the task's duration
   */
  boolean isStalled(int percent, Duration unchangedFor, Duration estimate) {
    if (percent > 0 && percent < COMPLETE) {
      progressSeen = true;
    }
    Duration part = estimate.dividedBy(ESTIMATE_DIVISOR);
    Duration limit = part.compareTo(MIN_UNCHANGED) < 0 ? MIN_UNCHANGED : part;
    return progressSeen && percent < COMPLETE && unchangedFor.compareTo(limit) >= 0;
  }
}
