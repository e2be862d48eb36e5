package org.lovagerack.fleet.shard;

/** Makes the decisions of a shard controller durable and provides its fencing token and lease. */
interface DecisionLog {

  /** Returns the fencing token in force. */
  long token();

  /** Queues an entry for commit. */
  void append(CommitEntry entry);

  /** Returns whether the lease is valid, so that tasks of durable jobs may be started. */
  boolean leaseValid();

  /** Returns whether the controller serves the whole shard rather than an island. */
  boolean coversWholeShard();

  /** Returns whether jobs can currently be stored. */
  boolean storeAvailable();

  /**
   * Handles the rejection of a request by a worker that has received a higher token.
   *
   * @param usedToken token of the request that was rejected
   */
  void fenced(long usedToken);

  /** Returns whether the log is closed and commits no more entries. */
  boolean closed();

  /** Stops all activity without notifying listeners. */
  void close();
}
