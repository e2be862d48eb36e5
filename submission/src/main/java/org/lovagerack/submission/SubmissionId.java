package org.lovagerack.submission;

/**
 * Identifier of a submission. It names the one process that may ever start its tasks.
 *
 * @param failureDomain failure domain of the owner
 * @param peerAddress IP number and port of the owner's peer protocol
 * @param incarnation random number that the owner drew when its process started
 * @param sequence number of the identifier within the incarnation, from 1
 */
public record SubmissionId(
    String failureDomain, String peerAddress, long incarnation, long sequence) {}
