/**
 * Shards: ownership under a lease, grouped commits, recovery after a change of owner, queueing and
 * placement of tasks.
 */
package org.lovagerack.fleet.shard;
