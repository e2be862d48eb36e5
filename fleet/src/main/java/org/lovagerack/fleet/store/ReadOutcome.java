package org.lovagerack.fleet.store;

import java.util.List;

/** Result of reading rows. */
public sealed interface ReadOutcome {

  /**
   * Rows as of one moment.
   *
   * @param rows rows in order of their keys
   * @param more whether further rows follow
   * @param version newest version of the store at that moment
   */
  record Rows(List<StoredRow> rows, boolean more, long version) implements ReadOutcome {

    /** Returns the smallest key after these rows, from which the next page is read. */
    public String nextFrom() {
      return rows.getLast().key().key() + '\0';
    }
  }

  /** The history that a feed asked for is no longer available. */
  record HistoryGone() implements ReadOutcome {}

  /**
   * The store did not answer usefully.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ReadOutcome {}
}
