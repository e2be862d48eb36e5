package org.lovagerack.submission;

import java.util.List;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Derives the failure of a job from the outcomes of its tasks. */
final class JobFailure {

  private JobFailure() {}

  /**
   * Returns the failure to report for a job.
   *
   * @param reason the failure that ended the job
   * @param outcomes the outcome of every task
   */
  static Failure of(Failure reason, List<TaskOutcome> outcomes) {
    RunOutcome combined = combine(outcomes);
    if (reason.kind().guaranteesNotRun() && combined != RunOutcome.NOT_RUN) {
      // The kind guarantees that nothing ran, but another task of the job may have run.
      String detail = reason.kind() + ": " + reason.detail() + "; other tasks may have run";
      return new Failure(ErrorKind.OUTCOME_UNKNOWN, combined, detail, reason.retryAfter());
    }
    return new Failure(reason.kind(), combined, reason.detail(), reason.retryAfter());
  }

  private static RunOutcome combine(List<TaskOutcome> outcomes) {
    RunOutcome first = runOutcome(outcomes.getFirst());
    boolean same = outcomes.stream().allMatch(outcome -> runOutcome(outcome) == first);
    return same ? first : RunOutcome.MAY_HAVE_RUN;
  }

  private static RunOutcome runOutcome(TaskOutcome outcome) {
    return switch (outcome) {
      case TaskOutcome.Succeeded succeeded -> RunOutcome.RAN;
      case TaskOutcome.Failed failed -> failed.failure().outcome();
    };
  }
}
