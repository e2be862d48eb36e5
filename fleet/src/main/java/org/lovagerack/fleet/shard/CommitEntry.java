package org.lovagerack.fleet.shard;

import java.util.List;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;

/**
 * Row changes of one decision. Entries of several decisions are committed in one transaction.
 *
 * @param conditions conditions in addition to the lease
 * @param writes rows to write
 * @param removals rows to remove
 * @param optional whether the entry is dropped instead of retried while the store is unavailable
 * @param listener receives the outcome, at most once
 */
record CommitEntry(
    List<RowCondition> conditions,
    List<RowWrite> writes,
    List<RowKey> removals,
    boolean optional,
    Listener listener) {

  /** Receives the outcome of an entry. */
  interface Listener {

    /** Called when the changes are durable. */
    void committed();

    /** Called when a condition of the entry did not hold and nothing was changed. */
    void conflicted(StoredRow row);

    /** Called when the changes were not applied and will not be applied later. */
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
