package org.lovagerack.submission;

import org.lovagerack.foundation.error.Failure;

/** Answer to a submission. */
public sealed interface SubmitResult {

  /** The job was accepted, and its tasks were submitted. It may have finished already. */
  record Accepted(SubmissionId id) implements SubmitResult {}

  /** The same submission was accepted earlier. Nothing was started. */
  record Duplicate(SubmissionId id) implements SubmitResult {}

  /** The submission was refused, now or earlier. */
  record Refused(Failure failure) implements SubmitResult {}
}
