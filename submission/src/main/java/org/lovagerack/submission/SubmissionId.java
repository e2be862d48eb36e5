package org.lovagerack.submission;

/**
 * Identifier of a submission. It names the only process that may start the tasks of the submission.
 *
 * @param failureDomain failure domain of the owner
 * @param peerAddress IP address and port at which the owner serves the peer protocol
 * @param incarnation random number generated when the owner's process started
 * @param sequence number of the identifier within the incarnation, starting at 1
 */
public record SubmissionId(
    String failureDomain, String peerAddress, long incarnation, long sequence) {}
