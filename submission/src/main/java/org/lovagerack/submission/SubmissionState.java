package org.lovagerack.submission;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/**
 * State of a submission identifier in this process. {@link SubmissionStore} reports all states but
 * {@link IssuedElsewhere}.
 */
sealed interface SubmissionState {

  /** This process did not issue the identifier. */
  record NotIssued() implements SubmissionState {}

  /** The identifier was issued and not used yet. */
  record Issued() implements SubmissionState {}

  /** The job was accepted and has not finished. */
  record Accepted(Bytes bodyDigest, RunningJob job) implements SubmissionState {}

  /** The submission was refused. The refusal is final. */
  record Refused(Bytes bodyDigest, Failure failure) implements SubmissionState {}

  /** The job has finished. */
  record Finished(Bytes bodyDigest, JobStatus status) implements SubmissionState {}

  /**
   * The identifier can no longer be used, and its answer is no longer retained.
   *
   * @param neverAccepted whether the store has a record that no job was accepted; false if unknown
   */
  record Expired(boolean neverAccepted) implements SubmissionState {}

  /** Another process issued the identifier, and its answer was not handed over to this one. */
  record IssuedElsewhere() implements SubmissionState {}
}
