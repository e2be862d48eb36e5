package org.lovagerack.submission;

import java.time.Duration;
import java.util.List;
import org.lovagerack.foundation.data.Bytes;

/**
 * Final answers and refusals that a draining process sends to its peers, which answer later
 * queries.
 *
 * @param entries one entry for each submission
 */
public record Handover(List<Entry> entries) {

  public Handover {
    entries = List.copyOf(entries);
  }

  /**
   * The final status of one submission.
   *
   * @param id its identifier
   * @param bodyDigest digest of the request body
   * @param refused whether the submission was refused rather than accepted
   * @param status completed or failed; always failed for a refused submission
   * @param retention remaining time for which the answer is retained
   */
  public record Entry(
      SubmissionId id, Bytes bodyDigest, boolean refused, JobStatus status, Duration retention) {

    /**
     * @throws IllegalArgumentException if the status is not final, or if the submission was refused
     *     and the status is not a failure
     */
    public Entry {
      if (status instanceof JobStatus.Running
          || (refused && !(status instanceof JobStatus.Failed))) {
        throw new IllegalArgumentException("handover entry has an invalid status: " + status);
      }
    }
  }
}
