package org.lovagerack.fleet.shard;

/**
 * Decision log of an island. It has no store, so it drops every entry and never has a valid lease.
 */
final class IslandLog implements DecisionLog {

  private final long token;
  private boolean closed;

  IslandLog(long token) {
    this.token = token;
  }

  @Override
  public long token() {
    return token;
  }

  @Override
  public void append(CommitEntry entry) {
    entry.listener().dropped("the store cannot be reached");
  }

  @Override
  public boolean leaseValid() {
    return false;
  }

  @Override
  public boolean coversWholeShard() {
    return false;
  }

  @Override
  public boolean storeAvailable() {
    return false;
  }

  @Override
  public void fenced(long usedToken) {
    // The shard's owner controls the worker again. An island cannot raise its token.
  }

  @Override
  public boolean closed() {
    return closed;
  }

  @Override
  public void close() {
    closed = true;
  }
}
