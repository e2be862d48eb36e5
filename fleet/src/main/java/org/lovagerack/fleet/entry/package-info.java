/** Routing of clients' calls to the owners of the jobs' shards, and takeover of shards. */
package org.lovagerack.fleet.entry;
