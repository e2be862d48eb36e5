package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Carries the reports of attempts in flight between the entry VMs, and counts the messages. */
final class LoadExchange {

  private static final Duration PERIOD = Duration.ofMillis(20);
  private static final long UNCHANGED_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

  private final DrivenTimer timer;
  private final List<EntryVm> vms;
  private final Map<String, Map<String, Integer>> lastReports = new HashMap<>();
  private final Map<String, Long> lastTimes = new HashMap<>();
  private long messages;

  LoadExchange(DrivenTimer timer, List<EntryVm> vms) {
    this.timer = timer;
    this.vms = List.copyOf(vms);
  }

  void start() {
    for (EntryVm vm : vms) {
      vm.loop().every(PERIOD, () -> report(vm));
    }
  }

  long messages() {
    return messages;
  }

  private void report(EntryVm sender) {
    sender.policy().inFlightByUpstream().ifPresent(report -> report(sender, Map.copyOf(report)));
  }

  private void report(EntryVm sender, Map<String, Integer> report) {
    long now = timer.nanoTime();
    boolean unchanged = report.equals(lastReports.getOrDefault(sender.name(), Map.of()));
    if (unchanged && now - lastTimes.getOrDefault(sender.name(), 0L) < UNCHANGED_PERIOD_NANOS) {
      return;
    }
    lastReports.put(sender.name(), report);
    lastTimes.put(sender.name(), now);
    for (EntryVm receiver : vms) {
      if (!receiver.name().equals(sender.name())) {
        messages++;
        timer.after(Workload.PEER_LATENCY, () -> receiver.takeReport(sender.name(), report));
      }
    }
  }
}
