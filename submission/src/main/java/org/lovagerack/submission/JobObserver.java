package org.lovagerack.submission;

import java.time.Duration;
import org.lovagerack.foundation.error.Failure;

/**
 * Receives the events that metrics, burn counts and logs are made of, on the event loop. Ignores
 * them by default.
 */
public interface JobObserver {

  /** Identifiers were issued on request of a caller. */
  default void onIssued(int count) {}

  /** A job was accepted. Called before any of its tasks is submitted. */
  default void onAccepted(SubmissionId id, JobRequest request) {}

  /** A submission repeated an earlier one. */
  default void onDuplicate(SubmissionId id) {}

  /**
   * A submission was refused. Called again for each resubmission that gets the recorded refusal.
   */
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
