package org.lovagerack.notes;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Peers as a source of release notes while the platform is unavailable. */
public interface NoteSource {

  /**
   * Requests {@link NoteFollower#catchUpAfter} from all live peers of the failure domain. The stage
   * completes on the caller's event loop with the answers that arrived. Peers known not to be ahead
   * may be skipped, because an entire deployment is large: 2.8 MB with 25,000 upstreams.
   *
   * @param revision revision that the caller has applied; -1 if it has no deployment
   */
  CompletionStage<List<CatchUp>> catchUpAfter(long revision);
}
