/** Calls of clients: routing of a job to the owner of its shard. */
package org.lovagerack.fleet.entry;
