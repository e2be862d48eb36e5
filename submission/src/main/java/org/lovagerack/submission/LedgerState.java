package org.lovagerack.submission;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** What is known about an identifier. The ledger reports all states but {@link Foreign}. */
sealed interface LedgerState {

  /** It was not issued by this process. */
  record NotIssued() implements LedgerState {}

  /** It was issued and may be used once. */
  record Issued() implements LedgerState {}

  /** Its job is not finished. */
  record Accepted(Bytes bodyDigest, RunningJob job) implements LedgerState {}

  /** It was refused for good. */
  record Refused(Bytes bodyDigest, Failure failure) implements LedgerState {}

  /** Its job is finished. */
  record Finished(Bytes bodyDigest, JobStatus status) implements LedgerState {}

  /**
   * It can no longer be used or read.
   *
   * @param neverAccepted whether the ledger still knows that it was never accepted
   */
  record Expired(boolean neverAccepted) implements LedgerState {}

  /** Another process issued it, and its answer was not handed over. */
  record Foreign() implements LedgerState {}
}
