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

/** A simulated upstream with slots, a speed, a FIFO queue behind the slots, and faults. */
final class FakeUpstream {

  static final Duration ERROR_RESPONSE_TIME = Duration.ofMillis(1);

  /** Starts on a leaving upstream are violations this long after the entry VMs were notified. */
  static final Duration LEAVING_GRACE_PERIOD = Duration.ofSeconds(3);

  private static final AttemptResult SUCCESS =
      new AttemptResult.Answered(200, Bytes.empty(), false);
  private static final AttemptResult ERROR = new AttemptResult.Answered(500, Bytes.empty(), false);
  private static final AttemptResult CONNECTION_RESET = new AttemptResult.Lost("connection reset");

  private final DrivenTimer timer;
  private final String address;
  private final double speed;
  private final int slots;
  private final Queue<Request> waitingRequests = new ArrayDeque<>();
  private final Set<Request> runningRequests = new LinkedHashSet<>();
  private boolean failing;
  private boolean crashed;
  private long leavingSinceNanos = Long.MAX_VALUE;
  private int startsWhileLeaving;

  FakeUpstream(DrivenTimer timer, String address, double speed, int slots) {
    this.timer = timer;
    this.address = address;
    this.speed = speed;
    this.slots = slots;
  }

  /** A request that the upstream received. */
  interface Request {

    TaskRecord task();

    int attempt();

    /** Returns whether the caller no longer expects an answer. */
    boolean finished();

    void answer(AttemptResult result);
  }

  void receive(Request request) {
    if (crashed) {
      request.answer(CONNECTION_RESET);
    } else if (runningRequests.size() < slots) {
      start(request);
    } else {
      waitingRequests.add(request);
    }
  }

  void setFailing(boolean value) {
    failing = value;
  }

  void markLeaving() {
    leavingSinceNanos = timer.nanoTime();
  }

  void crash() {
    crashed = true;
    List<Request> lostRequests = new ArrayList<>(runningRequests);
    lostRequests.addAll(waitingRequests);
    runningRequests.clear();
    waitingRequests.clear();
    lostRequests.forEach(request -> request.answer(CONNECTION_RESET));
  }

  boolean crashed() {
    return crashed;
  }

  int startsWhileLeaving() {
    return startsWhileLeaving;
  }

  private void start(Request request) {
    runningRequests.add(request);
    TaskRecord record = request.task();
    if (timer.nanoTime() - leavingSinceNanos > LEAVING_GRACE_PERIOD.toNanos()) {
      startsWhileLeaving++;
    }
    double work = record.task.workNanos(request.attempt());
    long runNanos =
        failing
            ? ERROR_RESPONSE_TIME.toNanos()
            : (long) Math.ceil(work * Workload.REFERENCE_SPEED / speed);
    record.starts.add(new TaskRecord.Start(timer.nanoTime(), address, runNanos));
    AttemptResult result = failing ? ERROR : SUCCESS;
    timer.after(Duration.ofNanos(runNanos), () -> finish(request, result));
  }

  private void finish(Request request, AttemptResult result) {
    if (!runningRequests.remove(request)) {
      return;
    }
    request.answer(result);
    while (!waitingRequests.isEmpty() && runningRequests.size() < slots) {
      Request next = waitingRequests.remove();
      if (!next.finished()) {
        start(next);
      }
    }
  }
}
