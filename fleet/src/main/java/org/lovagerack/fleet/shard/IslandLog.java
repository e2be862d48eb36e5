package org.lovagerack.fleet.shard;

/** The log of an island, which has no store: it keeps nothing and promises nothing. */
final class IslandLog implements TenureLog {

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
  public boolean wholeShard() {
    return false;
  }

  @Override
  public boolean storeAvailable() {
    return false;
  }

  @Override
  public void fenced(long usedToken) {
    // The shard's owner is back, and the worker is its own again.
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
