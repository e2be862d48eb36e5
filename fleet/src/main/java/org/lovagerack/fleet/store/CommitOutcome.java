package org.lovagerack.fleet.store;

import java.util.List;

/** What is known about a transaction after a call to the store. */
public sealed interface CommitOutcome {

  /**
   * The transaction was applied.
   *
   * @param version version of the rows written
   */
  record Committed(long version) implements CommitOutcome {}

  /**
   * A condition did not hold, and nothing was applied.
   *
   * @param rows the rows of the conditions that exist
   */
  record Conflict(List<StoredRow> rows) implements CommitOutcome {}

  /**
   * The transaction was certainly not applied and will not be.
   *
   * @param reason why
   */
  record NotApplied(String reason) implements CommitOutcome {}

  /**
   * The transaction may have been applied, or may still be.
   *
   * @param reason why
   */
  record Unknown(String reason) implements CommitOutcome {}
}
