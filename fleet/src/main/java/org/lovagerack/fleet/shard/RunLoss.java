package org.lovagerack.fleet.shard;

/** Why a run that had not completed is certainly no longer active. */
enum RunLoss {
  /** The worker did not execute it. */
  NOT_EXECUTED,
  /** The worker stopped answering before it had confirmed the start. */
  UNCONFIRMED,
  /** The worker stopped answering until its lease expired; it may have crashed or been cut off. */
  UNRESPONSIVE,
  /** The process that executed the run has ended. */
  PROCESS_ENDED
}
