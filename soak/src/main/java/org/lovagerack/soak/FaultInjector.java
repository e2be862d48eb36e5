package org.lovagerack.soak;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.StoreStandIn;

/** Injects the faults of a plan and records which parts they disrupt. */
final class FaultInjector {

  private final TimerService timer;
  private final Disruptions disruptions;
  private final StoreStandIn store;
  private final TemporaryOverride<StoreStandIn.Fault> storeFault;
  private final List<SoakVm> vms;
  private final List<SoakWorker> workers;
  private final ConfigurationPublisher configurationPublisher;
  private final Consumer<String> log;

  FaultInjector(
      TimerService timer,
      Disruptions disruptions,
      StoreStandIn store,
      List<SoakVm> vms,
      List<SoakWorker> workers,
      ConfigurationPublisher configurationPublisher,
      Consumer<String> log) {
    this.timer = timer;
    this.disruptions = disruptions;
    this.store = store;
    this.storeFault = new TemporaryOverride<>(timer, StoreStandIn.Fault.NONE, store::setFault);
    this.vms = vms;
    this.workers = workers;
    this.configurationPublisher = configurationPublisher;
    this.log = log;
  }

  /** Schedules every fault of a plan. */
  void start(FaultPlan plan) {
    for (FaultPlan.Entry entry : plan.entries()) {
      timer.after(entry.start(), () -> inject(entry.fault()));
    }
  }

  private void inject(Fault fault) {
    log.accept(fault.toString());
    switch (fault) {
      case Fault.ProcessFault process ->
          vms.get(process.vm()).inject(process.action(), process.duration());
      case Fault.LinkFault link -> {
        recordDisruption(link.kind() + " link " + link.index(), link.duration());
        TemporaryOverride<FaultyProxy.Mode> override =
            link.kind() == Fault.LinkKind.WORKER
                ? workers.get(link.index()).linkMode()
                : vms.get(link.index()).linkMode(link.kind());
        override.apply(link.mode(), link.duration());
      }
      case Fault.StoreFault outage -> {
        recordDisruption("store", outage.duration());
        storeFault.apply(outage.fault(), outage.duration());
      }
      case Fault.StoreHistoryDropped dropped -> {
        recordDisruption("store", Duration.ZERO);
        store.dropHistory();
      }
      case Fault.WorkerFault worker -> {
        recordDisruption("worker " + worker.worker(), worker.duration());
        workers.get(worker.worker()).fault().apply(worker.fault(), worker.duration());
      }
      case Fault.WorkerRestarted restarted -> {
        recordDisruption("worker " + restarted.worker(), Duration.ZERO);
        workers.get(restarted.worker()).restart();
      }
      case Fault.WorkerDrained drained ->
          workers.get(drained.worker()).draining().apply(true, drained.duration());
      case Fault.ConfigurationChanged changed -> configurationPublisher.publishNext();
    }
  }

  private void recordDisruption(String subject, Duration duration) {
    Runnable end = disruptions.begin(subject);
    timer.after(duration, end);
  }
}
