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
   * @param rows existing rows among those that the conditions refer to
   */
  record Conflict(List<StoredRow> rows) implements CommitOutcome {}

  /**
   * The transaction was not applied and will not be applied later.
   *
   * @param reason description of the failure
   */
  record NotApplied(String reason) implements CommitOutcome {}

  /**
   * The transaction may have been applied, or may still be applied.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements CommitOutcome {}
}
