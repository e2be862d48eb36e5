package org.lovagerack.submission;

import java.time.Duration;
import java.util.List;
import org.lovagerack.foundation.data.Bytes;

/**
 * Final answers and refusals of a draining process.
 *
 * @param entries one for each submission
 */
public record Handover(List<Entry> entries) {

  public Handover {
    entries = List.copyOf(entries);
  }

  /**
   * One submission whose answer is final.
   *
   * @param id its identifier
   * @param bodyDigest digest of the request body
   * @param refused whether it was refused, and so never accepted
   * @param status completed or failed; failed if it was refused
   * @param retention time for which the answer is still kept
   */
  public record Entry(
      SubmissionId id, Bytes bodyDigest, boolean refused, JobStatus status, Duration retention) {

    /**
     * @throws IllegalArgumentException if the status is not final, or the submission was refused
     *     and the status is not a failure
     */
    public Entry {
      if (status instanceof JobStatus.Running
          || (refused && !(status instanceof JobStatus.Failed))) {
        throw new IllegalArgumentException("status of a handed over entry is not valid: " + status);
      }
    }
  }
}
