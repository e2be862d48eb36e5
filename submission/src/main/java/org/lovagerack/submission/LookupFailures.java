package org.lovagerack.submission;

import java.util.Optional;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Failures of looking up an identifier. Their outcomes state whether its job may have run. */
final class LookupFailures {

  private LookupFailures() {}

  static Failure expired(SubmissionId id, SubmissionState.Expired expired) {
    RunOutcome outcome = expired.neverAccepted() ? RunOutcome.NOT_RUN : RunOutcome.MAY_HAVE_RUN;
    return new Failure(
        ErrorKind.SUBMISSION_EXPIRED,
        outcome,
        "identifier " + id.sequence() + " of this entry VM has expired",
        Optional.empty());
  }

  static Failure notIssued(SubmissionId id) {
    return Failure.notRun(
        ErrorKind.INVALID_SUBMISSION_ID,
        "identifier " + id.sequence() + " was not issued by this entry VM");
  }

  static Failure unused(SubmissionId id) {
    return Failure.mayHaveRun(
        ErrorKind.NOT_FOUND, "no job was submitted under identifier " + id.sequence() + " yet");
  }

  /**
   * Returns the failure for an identifier of another process. An earlier incarnation at the same
   * address has ended and is lost; a process at another address may still be running, and the call
   * should have been forwarded to it.
   */
  static Failure issuedElsewhere(SubmissionId id, OwnerIdentity identity) {
    if (id.peerAddress().equals(identity.peerAddress())) {
      return Failure.mayHaveRun(
          ErrorKind.OWNER_LOST,
          "the process at "
              + id.peerAddress()
              + " with incarnation "
              + Long.toHexString(id.incarnation())
              + " has ended");
    }
    return Failure.mayHaveRun(
        ErrorKind.OWNER_UNREACHABLE,
        "the identifier belongs to the process at " + id.peerAddress());
  }

  static Failure reused(RunOutcome outcome) {
    return new Failure(
        ErrorKind.SUBMISSION_ID_REUSED,
        outcome,
        "the identifier was used with another request body",
        Optional.empty());
  }
}
