package org.lovagerack.submission;

import java.util.Optional;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Failures of looking up an identifier, with what is known about its execution. */
final class LookupFailures {

  private LookupFailures() {}

  static Failure expired(SubmissionId id, LedgerState.Expired expired) {
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

  static Failure notUsed(SubmissionId id) {
    return Failure.mayHaveRun(
        ErrorKind.NOT_FOUND, "no job was submitted under identifier " + id.sequence() + " yet");
  }

  /**
   * An earlier incarnation at this address is gone for good. Any other process may only be out of
   * reach; the caller of the service should have asked it.
   */
  static Failure foreign(SubmissionId id, OwnerIdentity self) {
    if (id.peerAddress().equals(self.peerAddress())) {
      return Failure.mayHaveRun(
          ErrorKind.OWNER_LOST,
          "the process at "
              + id.peerAddress()
              + " with incarnation "
              + Long.toHexString(id.incarnation())
              + " is gone");
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
