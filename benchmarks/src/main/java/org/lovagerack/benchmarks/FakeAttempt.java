package org.lovagerack.benchmarks;

import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptResult;

/** One attempt on its way through a connection, and the request that the upstream sees. */
final class FakeAttempt implements Attempt, FakeUpstream.Request {

  private final FakePool pool;
  private final TaskRecord record;
  private final int number;
  private final AttemptListener listener;
  private FakePool.Connection connection;
  private boolean sent;
  private boolean closed;

  FakeAttempt(FakePool pool, TaskRecord record, int number, AttemptListener listener) {
    this.pool = pool;
    this.record = record;
    this.number = number;
    this.listener = listener;
  }

  void connecting(FakePool.Connection opened) {
    connection = opened;
  }

  void sent(FakePool.Connection used) {
    connection = used;
    sent = true;
    record.requests++;
  }

  /** Ends the attempt before any byte was sent; the connection attempt counts as a message. */
  void notSent(String reason) {
    if (!closed) {
      closed = true;
      record.requests++;
      listener.onResult(new AttemptResult.NotSent(reason));
    }
  }

  @Override
  public void cancel() {
    if (closed) {
      return;
    }
    closed = true;
    if (connection == null) {
      pool.forget(this);
      return;
    }
    if (sent) {
      record.closes++;
    }
    pool.close(connection);
  }

  @Override
  public TaskRecord task() {
    return record;
  }

  @Override
  public int attempt() {
    return number;
  }

  @Override
  public boolean closed() {
    return closed;
  }

  @Override
  public void answer(AttemptResult result) {
    if (!pool.silent(connection)) {
      pool.onLoopAfterLatency(() -> deliver(result));
    }
  }

  private void deliver(AttemptResult result) {
    if (closed) {
      return;
    }
    closed = true;
    if (result instanceof AttemptResult.Answered) {
      record.answers++;
      pool.release(connection);
    } else {
      pool.close(connection);
    }
    listener.onResult(result);
  }
}
