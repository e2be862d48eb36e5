package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Transport of one entry VM to the fake upstreams. */
final class FakeTransport implements UpstreamTransport {

  private final DrivenTimer timer;
  private final EntryLoop loop;
  private final Map<String, TaskRecord> tasks;
  private final Map<String, FakePool> pools = new HashMap<>();

  FakeTransport(
      DrivenTimer timer,
      EntryLoop loop,
      Map<String, FakeUpstream> upstreams,
      Map<String, TaskRecord> tasks,
      int connections) {
    this.timer = timer;
    this.loop = loop;
    this.tasks = tasks;
    upstreams.forEach(
        (address, upstream) -> pools.put(address, new FakePool(this, upstream, connections)));
  }

  @Override
  public Attempt start(AttemptRequest request, AttemptListener listener) {
    FakePool pool = pools.get(request.upstream());
    if (pool == null) {
      throw new IllegalArgumentException("no upstream has the address " + request.upstream());
    }
    FakeAttempt attempt =
        new FakeAttempt(pool, tasks.get(request.taskKey()), request.attempt(), listener);
    pool.start(attempt, request.freshConnection());
    return attempt;
  }

  @Override
  public void limitConnections(String upstream, int connections) {
    pools.get(upstream).setMaxConnections(connections);
  }

  @Override
  public void closeIdleConnections(String upstream) {
    pools.get(upstream).closeIdle();
  }

  /** Makes every open connection to an upstream unresponsive permanently. */
  void makeUnresponsive(String upstream) {
    pools.get(upstream).makeUnresponsive();
  }

  /** Runs the callback after one network latency, not on the event loop of the entry VM. */
  void afterLatency(Runnable callback) {
    timer.after(Workload.UPSTREAM_LATENCY, callback);
  }

  /** Runs the callback on the event loop of the entry VM after a delay. */
  void onLoopAfter(Duration delay, Runnable callback) {
    timer.after(delay, () -> loop.execute(callback));
  }

  long nanoTime() {
    return timer.nanoTime();
  }
}
