package org.lovagerack.submission;

/** A caller that waits for the end of a job. */
public interface JobWait {

  /** Stops waiting, for example because the caller disconnected. The job is not affected. */
  void cancel();
}
