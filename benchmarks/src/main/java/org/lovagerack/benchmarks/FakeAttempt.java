package org.lovagerack.benchmarks;

import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptResult;

/** One attempt on a connection, which is also the request that the upstream receives. */
final class FakeAttempt implements Attempt, FakeUpstream.Request {

  private final FakePool pool;
  private final TaskRecord record;
  private final int number;
  private final AttemptListener listener;
  private FakePool.Connection connection;
  private boolean sent;
  private boolean finished;

  FakeAttempt(FakePool pool, TaskRecord record, int number, AttemptListener listener) {
    this.pool = pool;
    this.record = record;
    this.number = number;
    this.listener = listener;
  }

  void onConnecting(FakePool.Connection opened) {
    connection = opened;
  }

  void onSent(FakePool.Connection used) {
    connection = used;
    sent = true;
    record.requests++;
  }

  /**
   * Fails the attempt before its request was sent. The failed connection counts as a request in the
   * number of messages.
   */
  void failNotSent(String reason) {
    if (!finished) {
      finished = true;
      record.requests++;
      listener.onResult(new AttemptResult.NotSent(reason));
    }
  }

  @Override
  public void cancel() {
    if (finished) {
      return;
    }
    finished = true;
    if (connection == null) {
      pool.removeWaiting(this);
      return;
    }
    if (sent) {
      record.connectionCloses++;
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
  public boolean finished() {
    return finished;
  }

  @Override
  public void answer(AttemptResult result) {
    if (!pool.isUnresponsive(connection)) {
      pool.onLoopAfterLatency(() -> deliver(result));
    }
  }

  private void deliver(AttemptResult result) {
    if (finished) {
      return;
    }
    finished = true;
    if (result instanceof AttemptResult.Answered) {
      record.answers++;
      pool.release(connection);
    } else {
      pool.close(connection);
    }
    listener.onResult(result);
  }
}
