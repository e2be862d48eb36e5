package org.lovagerack.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.PlatformFixtures;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** A worker behind a proxy, and its entry in the store. */
final class SoakWorker {

  /** Long enough for faults to occur during tasks, short enough for many tasks. */
  static final Duration TASK_DURATION = Duration.ofMillis(60);

  /** Labels of the workers; few workers have the same one. */
  static final int LABELS = 4;

  private final Vertx vertx;
  private final TimerService timer;
  private final StoreStandIn store;
  private final int index;
  private final GuaranteeChecker checker;
  private final String label;
  private final WorkerStandIn worker;
  private final TemporaryOverride<WorkerStandIn.Fault> fault;
  private final TemporaryOverride<Boolean> draining;
  private TemporaryOverride<FaultyProxy.Mode> linkMode;
  private int proxyPort;

  SoakWorker(
      Vertx vertx, TimerService timer, StoreStandIn store, int index, GuaranteeChecker checker) {
    this(vertx, timer, store, index, checker, TASK_DURATION, label(index % LABELS));
  }

  SoakWorker(
      Vertx vertx,
      TimerService timer,
      StoreStandIn store,
      int index,
      GuaranteeChecker checker,
      Duration taskDuration,
      String label) {
    this.vertx = vertx;
    this.timer = timer;
    this.store = store;
    this.index = index;
    this.checker = checker;
    this.label = label;
    this.worker = new WorkerStandIn(vertx, taskDuration, checker.observe(index));
    this.fault = new TemporaryOverride<>(timer, WorkerStandIn.Fault.NONE, worker::setFault);
    this.draining = new TemporaryOverride<>(timer, false, this::setDraining);
  }

  /** Returns one of the {@link #LABELS} labels. */
  static String label(int number) {
    return "label-" + number;
  }

  /** Starts the worker and its proxy, and registers the worker in the store. */
  Future<Void> open() {
    return worker
        .listen()
        .compose(
            port -> {
              FaultyProxy proxy = new FaultyProxy(vertx, timer, "127.0.0.1", port);
              linkMode = new TemporaryOverride<>(timer, FaultyProxy.Mode.PASS, proxy::setMode);
              return proxy.listen(0);
            })
        .map(
            port -> {
              proxyPort = port;
              register("ready");
              return null;
            });
  }

  TemporaryOverride<FaultyProxy.Mode> linkMode() {
    return linkMode;
  }

  TemporaryOverride<WorkerStandIn.Fault> fault() {
    return fault;
  }

  TemporaryOverride<Boolean> draining() {
    return draining;
  }

  /** Returns the highest fencing token that the worker has seen. */
  long highestToken() {
    return worker.highestToken();
  }

  /** Returns the starts that the worker performed. */
  List<WorkerStandIn.Start> starts() {
    return worker.starts();
  }

  /** Restarts the worker without its state and registers the new start time. */
  void restart() {
    worker.restart();
    checker.setDraining(index, false);
    register("ready");
  }

  private void setDraining(boolean draining) {
    checker.setDraining(index, draining);
    register(draining ? "draining" : "ready");
  }

  private void register(String state) {
    store.put(
        "servers",
        "",
        "worker-" + index,
        PlatformFixtures.worker(
            Loopback.address(proxyPort), state, worker.startTimeMillis(), List.of(label)));
  }
}
