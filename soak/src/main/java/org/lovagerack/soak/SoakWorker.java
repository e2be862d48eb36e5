package org.lovagerack.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.PlatformEntries;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** One worker behind a proxy, with its entry in the store. */
final class SoakWorker {

  /** Long enough that faults meet running tasks, short enough for many of them. */
  static final Duration TASK_TIME = Duration.ofMillis(60);

  private final Vertx vertx;
  private final TimerService timer;
  private final StoreStandIn store;
  private final int index;
  private final Promises promises;
  private final WorkerStandIn worker;
  private final Toggle<WorkerStandIn.Fault> fault;
  private final Toggle<Boolean> drained;
  private Toggle<FaultyProxy.Mode> mode;
  private int proxyPort;

  SoakWorker(Vertx vertx, TimerService timer, StoreStandIn store, int index, Promises promises) {
    this.vertx = vertx;
    this.timer = timer;
    this.store = store;
    this.index = index;
    this.promises = promises;
    this.worker = new WorkerStandIn(vertx, TASK_TIME, promises.observe(index));
    this.fault = new Toggle<>(timer, WorkerStandIn.Fault.NONE, worker::setFault);
    this.drained = new Toggle<>(timer, false, this::setDrained);
  }

  /** Opens the worker and its proxy, and registers it. */
  Future<Void> open() {
    return worker
        .listen()
        .compose(
            port -> {
              FaultyProxy proxy = new FaultyProxy(vertx, timer, "127.0.0.1", port);
              mode = new Toggle<>(timer, FaultyProxy.Mode.PASS, proxy::setMode);
              return proxy.listen(0);
            })
        .map(
            port -> {
              proxyPort = port;
              register("ready");
              return null;
            });
  }

  Toggle<FaultyProxy.Mode> link() {
    return mode;
  }

  Toggle<WorkerStandIn.Fault> fault() {
    return fault;
  }

  Toggle<Boolean> drained() {
    return drained;
  }

  /** Loses the worker's memory; its entry names the new start. */
  void rebirth() {
    worker.rebirth();
    promises.setDrained(index, false);
    register("ready");
  }

  private void setDrained(boolean drains) {
    promises.setDrained(index, drains);
    register(drains ? "draining" : "ready");
  }

  private void register(String state) {
    store.put(
        "servers",
        "",
        "worker-" + index,
        PlatformEntries.worker(Loopback.address(proxyPort), state, worker.born()));
  }
}
