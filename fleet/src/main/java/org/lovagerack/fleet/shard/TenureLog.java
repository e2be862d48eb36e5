package org.lovagerack.fleet.shard;

/** What a tenure may rely on: its token, its lease, and a way to make decisions durable. */
interface TenureLog {

  /** Returns the fencing token in force. */
  long token();

  /** Commits an entry. */
  void append(CommitEntry entry);

  /** Returns whether jobs that are kept may be acted on. */
  boolean leaseValid();

  /** Returns whether all workers of the shard are to be used, not only those of an island. */
  boolean wholeShard();

  /** Returns whether jobs can be stored at present. */
  boolean storeAvailable();

  /**
   * A worker has seen a higher token than the one given.
   *
   * @param usedToken token of the order that was rejected
   */
  void fenced(long usedToken);

  /** Returns whether nothing can be committed any more. */
  boolean closed();

  /** Ends all activity without telling anybody. */
  void close();
}
