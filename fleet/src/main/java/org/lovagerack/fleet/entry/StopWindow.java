package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.OptionalLong;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Decides which jobs an entry VM takes while it stops. Answers clients that go on using their open
 * connections: a job that is likely to end before the process does is served, any other is refused
 * at once, because the client can submit it elsewhere.
 */
public final class StopWindow {

  private final TimerService timer;
  private OptionalLong endNanos = OptionalLong.empty();

  /** Creates the window of a process that does not stop. */
  public StopWindow(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Begins the stop.
   *
   * @param remaining time until the last answers are given
   */
  public void begin(Duration remaining) {
    endNanos = OptionalLong.of(timer.nanoTime() + remaining.toNanos());
  }

  /** Returns whether the process stops. */
  public boolean begun() {
    return endNanos.isPresent();
  }

  /** Returns whether a job that meets its objective ends before the process does. */
  public boolean admits(Submission submission) {
    if (endNanos.isEmpty()) {
      return true;
    }
    Duration objective = Objective.of(submission.queue(), submission.spec());
    return timer.nanoTime() + objective.toNanos() <= endNanos.getAsLong();
  }
}
