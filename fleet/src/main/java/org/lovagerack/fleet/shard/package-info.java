/**
 * Shards: ownership under a lease, batched commits, recovery after a takeover, and queueing and
 * placement of tasks.
 */
package org.lovagerack.fleet.shard;
