package org.lovagerack.fleet.store;

/**
 * Condition of a transaction.
 *
 * @param key row
 * @param version version that the row must have; {@link #ABSENT} if it must not exist
 */
public record RowCondition(RowKey key, long version) {

  /** Version of a row that does not exist. */
  public static final long ABSENT = 0;
}
