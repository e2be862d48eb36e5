package org.lovagerack.fleet.store;

/**
 * Condition on the version of a row, which must hold for a transaction to be applied.
 *
 * @param key row
 * @param version version that the row must have; {@link #ABSENT} if it must not exist
 */
public record RowCondition(RowKey key, long version) {

  /** Version of a row that does not exist. */
  public static final long ABSENT = 0;
}
