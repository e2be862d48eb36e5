package org.lovagerack.fleet.shard;

import java.util.List;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;

/**
 * Changes that one decision makes; they are committed together with those of other decisions.
 *
 * @param conditions conditions besides the lease
 * @param writes rows to write
 * @param removals rows to remove
 * @param optional whether the decision is dropped, not retried, while the store is unavailable
 * @param listener receives the one outcome
 */
record CommitEntry(
    List<RowCondition> conditions,
    List<RowWrite> writes,
    List<RowKey> removals,
    boolean optional,
    Listener listener) {

  /** Receives the outcome of an entry. */
  interface Listener {

    /** The changes are durable. */
    void committed();

    /** A condition of the entry did not hold; nothing was changed. */
    void conflicted(StoredRow row);

    /** The changes were not made and never will be. */
    void dropped(String reason);
  }

  CommitEntry {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
    removals = List.copyOf(removals);
  }

  int size() {
    return conditions.size() + writes.size() + removals.size();
  }
}
