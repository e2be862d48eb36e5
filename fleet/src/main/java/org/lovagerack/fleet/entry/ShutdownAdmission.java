package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.OptionalLong;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Decides which jobs an entry VM accepts while it shuts down. Clients may continue to submit jobs
 * on open connections. A job that is likely to end before the process is accepted; any other job is
 * refused at once, so that the client can submit it to another entry VM.
 */
public final class ShutdownAdmission {

  private final TimerService timer;
  private OptionalLong endNanos = OptionalLong.empty();

  /** Creates the admission of a process that is not shutting down. */
  public ShutdownAdmission(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Starts the shutdown.
   *
   * @param remaining time until the process sends its last answers
   */
  public void begin(Duration remaining) {
    endNanos = OptionalLong.of(timer.nanoTime() + remaining.toNanos());
  }

  /** Returns whether the process is shutting down. */
  public boolean shuttingDown() {
    return endNanos.isPresent();
  }

  /** Returns whether a job would end before the process if it meets its objective. */
  public boolean admits(Submission submission) {
    if (endNanos.isEmpty()) {
      return true;
    }
    Duration objective = Objective.of(submission.queue(), submission.spec());
    return timer.nanoTime() + objective.toNanos() <= endNanos.getAsLong();
  }
}
