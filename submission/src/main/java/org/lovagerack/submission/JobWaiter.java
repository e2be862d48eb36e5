package org.lovagerack.submission;

/** Handle of one caller that waits for a job to finish. */
public interface JobWaiter {

  /** Stops waiting, for example because the caller disconnected. The job is not affected. */
  void cancel();
}
