package org.lovagerack.fleet.store;

import java.util.List;

/**
 * Changes that are applied atomically; all rows are in one partition.
 *
 * @param conditions conditions that must all hold
 * @param writes rows to write
 * @param removals rows to remove
 */
public record RowTransaction(
    List<RowCondition> conditions, List<RowWrite> writes, List<RowKey> removals) {

  public RowTransaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
    removals = List.copyOf(removals);
  }
}
