package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Delivers reports of attempts in flight between entry VMs and counts the messages. */
final class LoadExchange {

  private static final Duration REPORT_PERIOD = Duration.ofMillis(20);
  private static final long UNCHANGED_REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

  private final DrivenTimer timer;
  private final List<EntryVm> vms;
  private final Map<String, Map<String, Integer>> lastReports = new HashMap<>();
  private final Map<String, Long> lastReportNanos = new HashMap<>();
  private long messages;

  LoadExchange(DrivenTimer timer, List<EntryVm> vms) {
    this.timer = timer;
    this.vms = List.copyOf(vms);
  }

  void start() {
    for (EntryVm vm : vms) {
      vm.loop().every(REPORT_PERIOD, () -> report(vm));
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
    if (unchanged
        && now - lastReportNanos.getOrDefault(sender.name(), 0L) < UNCHANGED_REPORT_PERIOD_NANOS) {
      return;
    }
    lastReports.put(sender.name(), report);
    lastReportNanos.put(sender.name(), now);
    for (EntryVm receiver : vms) {
      if (!receiver.name().equals(sender.name())) {
        messages++;
        timer.after(Workload.PEER_LATENCY, () -> receiver.receiveReport(sender.name(), report));
      }
    }
  }
}
