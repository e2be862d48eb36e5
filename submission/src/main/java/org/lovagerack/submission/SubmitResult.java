package org.lovagerack.submission;

import org.lovagerack.foundation.error.Failure;

/** Result of a submission. */
public sealed interface SubmitResult {

  /** The job was accepted and its tasks were submitted. It may already have finished. */
  record Accepted(SubmissionId id) implements SubmitResult {}

  /** The same job was accepted earlier under this identifier. No task was started. */
  record Duplicate(SubmissionId id) implements SubmitResult {}

  /** The submission is refused, or was refused earlier. */
  record Refused(Failure failure) implements SubmitResult {}
}
