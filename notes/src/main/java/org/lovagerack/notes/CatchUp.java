package org.lovagerack.notes;

import java.util.List;
import java.util.Optional;

/**
 * What an entry VM that is behind needs to reach the revision of a peer.
 *
 * @param deployment deployment to start from; empty if the notes alone suffice
 * @param notes notes to apply in order, each at the revision after its base revision
 */
public record CatchUp(Optional<Deployment> deployment, List<ReleaseNote> notes) {

  public CatchUp {
    notes = List.copyOf(notes);
  }

  /** Returns the revision that is reached; -1 if there is nothing to apply. */
  public long revision() {
    if (!notes.isEmpty()) {
      return notes.getLast().baseRevision() + 1;
    }
    return deployment.map(Deployment::revision).orElse(-1L);
  }
}
