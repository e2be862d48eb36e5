package org.lovagerack.fleet.entry;

import java.time.Duration;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.foundation.error.ErrorKind;

/** Tells answers of an owner from the lack of one. */
final class OwnerFailures {

  /** Answer while a shard has no owner that is known; takeovers last about a second. */
  static final JobAnswer NO_OWNER =
      new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1));

  private OwnerFailures() {}

  /** Returns whether an answer means that the owner was not reached, or is the owner no more. */
  static boolean isOne(JobAnswer answer) {
    return switch (answer) {
      case JobAnswer.Refused refused -> isOne(refused.kind());
      case JobAnswer.Unresolved unresolved -> isOne(unresolved.kind());
      default -> false;
    };
  }

  private static boolean isOne(ErrorKind kind) {
    return kind == ErrorKind.OWNER_UNREACHABLE || kind == ErrorKind.OWNER_LOST;
  }
}
