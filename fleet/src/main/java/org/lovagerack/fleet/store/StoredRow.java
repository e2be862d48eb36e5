package org.lovagerack.fleet.store;

import org.lovagerack.foundation.data.Bytes;

/**
 * A row as the store holds it.
 *
 * @param key address
 * @param value contents
 * @param version version of the transaction that wrote it
 * @param deleted whether a feed reports the row's removal
 */
public record StoredRow(RowKey key, Bytes value, long version, boolean deleted) {}
