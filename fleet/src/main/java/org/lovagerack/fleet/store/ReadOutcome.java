package org.lovagerack.fleet.store;

import java.util.List;

/** Result of reading rows. */
public sealed interface ReadOutcome {

  /**
   * Rows of a consistent snapshot.
   *
   * @param rows rows, ordered by key
   * @param more whether further rows follow
   * @param version version of the store at the time of the snapshot
   */
  record Rows(List<StoredRow> rows, boolean more, long version) implements ReadOutcome {

    /** Returns the smallest key after these rows, which is the start of the next page. */
    public String nextPageStart() {
      return rows.getLast().key().key() + '\0';
    }
  }

  /** The store no longer has the changes that a feed requested. */
  record HistoryUnavailable() implements ReadOutcome {}

  /**
   * The store could not be read.
   *
   * @param reason description of the failure
   */
  record Unavailable(String reason) implements ReadOutcome {}
}
