package org.lovagerack.fleet.store;

import org.lovagerack.foundation.data.Bytes;

/**
 * A row in the store, or its removal as reported by a feed.
 *
 * @param key address
 * @param value contents
 * @param version version of the transaction that wrote it
 * @param deleted whether the row was removed
 */
public record StoredRow(RowKey key, Bytes value, long version, boolean deleted) {}
