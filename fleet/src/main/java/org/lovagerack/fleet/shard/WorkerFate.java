package org.lovagerack.fleet.shard;

/** What became of a worker process that stopped answering. */
enum WorkerFate {
  UNKNOWN,
  /** It answers again. */
  RUNNING,
  ENDED
}
