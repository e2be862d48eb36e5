package org.lovagerack.fleet.entry;

import java.time.Duration;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.foundation.error.ErrorKind;

/** Answers that mean that a call was not handled by the owner of its shard. */
final class OwnerFailures {

  /** Answer while the owner of a shard is unknown. A takeover takes about a second. */
  static final JobAnswer NO_OWNER =
      new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1));

  private OwnerFailures() {}

  /** Returns whether an answer means that the owner was not reached or has lost the shard. */
  static boolean isOwnerFailure(JobAnswer answer) {
    return switch (answer) {
      case JobAnswer.Refused refused -> isOwnerFailure(refused.kind());
      case JobAnswer.Unresolved unresolved -> isOwnerFailure(unresolved.kind());
      default -> false;
    };
  }

  private static boolean isOwnerFailure(ErrorKind kind) {
    return kind == ErrorKind.OWNER_UNREACHABLE || kind == ErrorKind.OWNER_LOST;
  }
}
