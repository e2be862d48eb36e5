package org.lovagerack.fleet.store;

/**
 * Address of a row.
 *
 * @param table table
 * @param partition partition of the table, the unit of a transaction
 * @param key key within the partition
 */
public record RowKey(String table, String partition, String key) {}
