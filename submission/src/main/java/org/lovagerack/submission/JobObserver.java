package org.lovagerack.submission;

import java.time.Duration;
import org.lovagerack.foundation.error.Failure;

/**
 * Receives job events for metrics, error budgets and logs. Called on the event loop. The default
 * methods ignore the events.
 */
public interface JobObserver {

  /** Identifiers were issued at the request of a caller. */
  default void onIssued(int count) {}

  /** A job was accepted. Called before any of its tasks is submitted. */
  default void onAccepted(SubmissionId id, JobRequest request) {}

  /** An accepted job was submitted again. */
  default void onDuplicate(SubmissionId id) {}

  /** A submission was refused. Also called for each resubmission that gets the recorded refusal. */
  default void onRefused(JobRequest request, Failure failure) {}

  /**
   * An accepted job finished.
   *
   * @param status completed or failed
   * @param elapsed time since its submission arrived at this process
   */
  default void onFinished(
      SubmissionId id, JobRequest request, JobStatus status, Duration elapsed) {}
}
