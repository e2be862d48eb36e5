package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Schedules the faults of a scenario. */
final class FaultSchedule {

  private static final Duration SUSPENSION_DURATION = Duration.ofSeconds(2);
  private static final Duration UNRESPONSIVE_PERIOD = Duration.ofSeconds(10);

  private final DrivenTimer timer;
  private final Map<String, FakeUpstream> upstreams;
  private final List<EntryVm> vms;
  private final Duration horizon;

  FaultSchedule(
      DrivenTimer timer, Map<String, FakeUpstream> upstreams, List<EntryVm> vms, Duration horizon) {
    this.timer = timer;
    this.upstreams = upstreams;
    this.vms = vms;
    this.horizon = horizon;
  }

  void start(Scenario scenario) {
    scenario.faults().stream().sorted().forEach(this::start);
  }

  private void start(Fault fault) {
    String fastest = Workload.address(upstreams.size() - 1);
    String secondFastest = Workload.address(upstreams.size() - 2);
    switch (fault) {
      case UPSTREAM_FAILS -> {
        scheduleAt(0.2, () -> upstreams.get(fastest).setFailing(true));
        scheduleAt(0.7, () -> upstreams.get(fastest).setFailing(false));
      }
      case SILENT_CONNECTIONS ->
          timer.every(UNRESPONSIVE_PERIOD, () -> makeUnresponsive(fastest, secondFastest));
      case UPSTREAM_LEAVES -> scheduleAt(0.3, () -> removeUpstream(secondFastest));
      case UPSTREAM_DIES -> scheduleAt(0.3, () -> upstreams.get(secondFastest).crash());
      case FROZEN_ENTRY_VM -> scheduleAt(0.4, () -> vms.get(0).loop().suspend(SUSPENSION_DURATION));
      case STRAGGLERS, WRONG_RUN_TIMES, IMPOSSIBLE_JOBS, CANCELLATION_WAVES, BURSTS -> {
        // ArrivalPlan applies these faults.
      }
    }
  }

  private void makeUnresponsive(String... addresses) {
    for (EntryVm vm : vms) {
      for (String address : addresses) {
        vm.transport().makeUnresponsive(address);
      }
    }
  }

  private void removeUpstream(String address) {
    upstreams.get(address).markLeaving();
    vms.forEach(vm -> vm.loop().execute(() -> vm.policy().upstreamLeaving(address)));
  }

  private void scheduleAt(double share, Runnable callback) {
    timer.after(Duration.ofNanos((long) (horizon.toNanos() * share)), callback);
  }
}
