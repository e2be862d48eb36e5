package org.lovagerack.fleet.store;

import org.lovagerack.foundation.data.Bytes;

/**
 * A row to write.
 *
 * @param key address
 * @param value new contents
 */
public record RowWrite(RowKey key, Bytes value) {}
