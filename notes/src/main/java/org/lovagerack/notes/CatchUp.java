package org.lovagerack.notes;

import java.util.List;
import java.util.Optional;

/**
 * The data with which an entry VM that is behind reaches the revision of a peer.
 *
 * @param deployment deployment to start from; empty if the notes alone are enough
 * @param notes notes to apply in order, each at the revision after its base revision
 */
public record CatchUp(Optional<Deployment> deployment, List<ReleaseNote> notes) {

  public CatchUp {
    notes = List.copyOf(notes);
  }

  /** Returns the revision after everything is applied; -1 if there is nothing to apply. */
  public long revision() {
    if (!notes.isEmpty()) {
      return notes.getLast().baseRevision() + 1;
    }
    return deployment.map(Deployment::revision).orElse(-1L);
  }
}
