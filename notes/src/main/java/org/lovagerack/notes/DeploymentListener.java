package org.lovagerack.notes;

/** Receives what a {@link NoteFollower} puts in force. */
public interface DeploymentListener {

  /** A deployment came into force; its revision is greater than that of every earlier one. */
  void deployed(Deployment deployment);

  /**
   * A note was learned from the platform, as opposed to a peer, and is to be pushed to the peers of
   * the failure domain. Called after {@link #deployed} of its revision, except during start.
   */
  default void learned(long revision, ReleaseNote note) {}
}
