package org.lovagerack.soak;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.StoreStandIn;

/** Carries out the faults of a plan and notes which parts they disturb. */
final class FaultInjector {

  private final TimerService timer;
  private final Disruptions disruptions;
  private final StoreStandIn store;
  private final Toggle<StoreStandIn.Fault> storeFault;
  private final List<SoakVm> vms;
  private final List<SoakWorker> workers;
  private final Configurations configurations;
  private final Consumer<String> log;

  FaultInjector(
      TimerService timer,
      Disruptions disruptions,
      StoreStandIn store,
      List<SoakVm> vms,
      List<SoakWorker> workers,
      Configurations configurations,
      Consumer<String> log) {
    this.timer = timer;
    this.disruptions = disruptions;
    this.store = store;
    this.storeFault = new Toggle<>(timer, StoreStandIn.Fault.NONE, store::setFault);
    this.vms = vms;
    this.workers = workers;
    this.configurations = configurations;
    this.log = log;
  }

  /** Schedules every fault of a plan. */
  void start(FaultPlan plan) {
    for (FaultPlan.Entry entry : plan.entries()) {
      timer.after(entry.at(), () -> inject(entry.fault()));
    }
  }

  private void inject(Fault fault) {
    log.accept(fault.toString());
    switch (fault) {
      case Fault.ProcessFault process ->
          vms.get(process.vm()).disturb(process.action(), process.lasting());
      case Fault.LinkFault link -> {
        disturbed(link.kind() + " link " + link.index(), link.lasting());
        Toggle<FaultyProxy.Mode> toggle =
            link.kind() == Fault.LinkKind.WORKER
                ? workers.get(link.index()).link()
                : vms.get(link.index()).link(link.kind());
        toggle.change(link.mode(), link.lasting());
      }
      case Fault.StoreFault outage -> {
        disturbed("store", outage.lasting());
        storeFault.change(outage.fault(), outage.lasting());
      }
      case Fault.HistoryDropped dropped -> {
        disturbed("store", Duration.ZERO);
        store.dropHistory();
      }
      case Fault.WorkerFault worker -> {
        disturbed("worker " + worker.worker(), worker.lasting());
        workers.get(worker.worker()).fault().change(worker.fault(), worker.lasting());
      }
      case Fault.WorkerReborn reborn -> {
        disturbed("worker " + reborn.worker(), Duration.ZERO);
        workers.get(reborn.worker()).rebirth();
      }
      case Fault.WorkerDrained drained ->
          workers.get(drained.worker()).drained().change(true, drained.lasting());
      case Fault.ConfigurationChanged changed -> configurations.publishNext();
    }
  }

  private void disturbed(String subject, Duration lasting) {
    Runnable end = disruptions.begin(subject);
    timer.after(lasting, end);
  }
}
