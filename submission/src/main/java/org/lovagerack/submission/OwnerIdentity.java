package org.lovagerack.submission;

/**
 * Identity of the process that owns the identifiers it issues.
 *
 * @param failureDomain its failure domain
 * @param peerAddress IP number and port of its peer protocol
 * @param incarnation random number drawn when the process started
 */
public record OwnerIdentity(String failureDomain, String peerAddress, long incarnation) {

  SubmissionId identifier(long sequence) {
    return new SubmissionId(failureDomain, peerAddress, incarnation, sequence);
  }

  boolean owns(SubmissionId id) {
    return identifier(id.sequence()).equals(id);
  }
}
