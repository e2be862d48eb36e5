package org.lovagerack.notes;

/** Receives the deployments and release notes that a {@link NoteFollower} applies. */
public interface DeploymentListener {

  /** A deployment came into force; its revision is greater than that of every earlier one. */
  void deployed(Deployment deployment);

  /**
   * A note was read from the platform, not received from a peer, and has to be pushed to the peers
   * of the failure domain. Called after {@link #deployed} for its revision. Not called during
   * start.
   */
  default void noteReceivedFromPlatform(long revision, ReleaseNote note) {}
}
