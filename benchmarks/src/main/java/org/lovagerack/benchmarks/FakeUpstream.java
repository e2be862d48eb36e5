package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.DrivenTimer;

/** An upstream with slots, a speed, a FIFO queue for what exceeds the slots, and faults. */
final class FakeUpstream {

  static final Duration FAILURE_TIME = Duration.ofMillis(1);

  /** An upstream that is leaving may get new work for this long after the entry VMs were told. */
  static final Duration LEAVING_GRACE = Duration.ofSeconds(3);

  private static final AttemptResult DONE = new AttemptResult.Answered(200, Bytes.empty(), false);
  private static final AttemptResult ERROR = new AttemptResult.Answered(500, Bytes.empty(), false);
  private static final AttemptResult BROKEN = new AttemptResult.Lost("connection reset");

  private final DrivenTimer timer;
  private final String address;
  private final double speed;
  private final int slots;
  private final Queue<Request> waiting = new ArrayDeque<>();
  private final Set<Request> running = new LinkedHashSet<>();
  private boolean failing;
  private boolean dead;
  private long leavingSinceNanos = Long.MAX_VALUE;
  private int startsWhileLeaving;

  FakeUpstream(DrivenTimer timer, String address, double speed, int slots) {
    this.timer = timer;
    this.address = address;
    this.speed = speed;
    this.slots = slots;
  }

  /** A request as the upstream sees it. */
  interface Request {

    TaskRecord task();

    int attempt();

    /** Returns whether the caller closed the connection. */
    boolean closed();

    void answer(AttemptResult result);
  }

  void receive(Request request) {
    if (dead) {
      request.answer(BROKEN);
    } else if (running.size() < slots) {
      start(request);
    } else {
      waiting.add(request);
    }
  }

  void setFailing(boolean value) {
    failing = value;
  }

  void markLeaving() {
    leavingSinceNanos = timer.nanoTime();
  }

  void die() {
    dead = true;
    List<Request> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    lost.forEach(request -> request.answer(BROKEN));
  }

  boolean dead() {
    return dead;
  }

  int startsWhileLeaving() {
    return startsWhileLeaving;
  }

  private void start(Request request) {
    running.add(request);
    TaskRecord record = request.task();
    if (timer.nanoTime() - leavingSinceNanos > LEAVING_GRACE.toNanos()) {
      startsWhileLeaving++;
    }
    double work = record.task.workNanos(request.attempt());
    long nanos =
        failing
            ? FAILURE_TIME.toNanos()
            : (long) Math.ceil(work * Workload.REFERENCE_SPEED / speed);
    record.starts.add(new TaskRecord.Start(timer.nanoTime(), address, nanos));
    AttemptResult result = failing ? ERROR : DONE;
    timer.after(Duration.ofNanos(nanos), () -> finish(request, result));
  }

  private void finish(Request request, AttemptResult result) {
    if (!running.remove(request)) {
      return;
    }
    request.answer(result);
    while (!waiting.isEmpty() && running.size() < slots) {
      Request next = waiting.remove();
      if (!next.closed()) {
        start(next);
      }
    }
  }
}
