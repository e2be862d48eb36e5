package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Makes the faults of a scenario happen at their times. */
final class FaultSchedule {

  private static final Duration FREEZE = Duration.ofSeconds(2);
  private static final Duration SILENCE_PERIOD = Duration.ofSeconds(10);

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
    String second = Workload.address(upstreams.size() - 2);
    switch (fault) {
      case UPSTREAM_FAILS -> {
        at(0.2, () -> upstreams.get(fastest).setFailing(true));
        at(0.7, () -> upstreams.get(fastest).setFailing(false));
      }
      case SILENT_CONNECTIONS -> timer.every(SILENCE_PERIOD, () -> silence(fastest, second));
      case UPSTREAM_LEAVES -> at(0.3, () -> leave(second));
      case UPSTREAM_DIES -> at(0.3, () -> upstreams.get(second).die());
      case FROZEN_ENTRY_VM -> at(0.4, () -> vms.get(0).loop().freeze(FREEZE));
      case STRAGGLERS, WRONG_RUN_TIMES, IMPOSSIBLE_JOBS, CANCELLATION_WAVES, BURSTS -> {
        // These are faults of the arrivals, which the plan draws.
      }
    }
  }

  private void silence(String... addresses) {
    for (EntryVm vm : vms) {
      for (String address : addresses) {
        vm.transport().silence(address);
      }
    }
  }

  private void leave(String address) {
    upstreams.get(address).markLeaving();
    vms.forEach(vm -> vm.loop().execute(() -> vm.policy().upstreamLeaving(address)));
  }

  private void at(double share, Runnable callback) {
    timer.after(Duration.ofNanos((long) (horizon.toNanos() * share)), callback);
  }
}
