package org.lovagerack.submission;

/**
 * Identity of a process, which owns the submission identifiers that it issues.
 *
 * @param failureDomain its failure domain
 * @param peerAddress IP address and port at which it serves the peer protocol
 * @param incarnation random number generated when the process started
 */
public record OwnerIdentity(String failureDomain, String peerAddress, long incarnation) {

  SubmissionId identifier(long sequence) {
    return new SubmissionId(failureDomain, peerAddress, incarnation, sequence);
  }

  boolean owns(SubmissionId id) {
    return identifier(id.sequence()).equals(id);
  }
}
