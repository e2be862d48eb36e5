package org.lovagerack.submission;

import java.util.List;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Combines the outcomes of all tasks of a failed job into the failure of the job. */
final class JobFailure {

  private JobFailure() {}

  /**
   * Returns the failure of a job.
   *
   * @param reason what made the job fail
   * @param outcomes the outcome of every task
   */
  static Failure of(Failure reason, List<TaskOutcome> outcomes) {
    RunOutcome combined = combine(outcomes);
    if (reason.kind().guaranteesNotRun() && combined != RunOutcome.NOT_RUN) {
      // The kind would promise that no task was started, but another task of the job was.
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
