package org.lovagerack.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** Random faults and their start times, determined by a seed. Faults may overlap. */
final class FaultPlan {

  /** A fault and its start time, relative to the start of the traffic. */
  record Entry(Duration start, Fault fault) {}

  /** Mean time between the starts of faults. About three faults are active at the same time. */
  private static final Duration MEAN_INTERVAL = Duration.ofMillis(500);

  /** Shorter than every lease, so that some faults end before any lease expires. */
  private static final Duration MIN_DURATION = Duration.ofMillis(100);

  /** Longer than every lease, so that some faults last until leases expire. */
  private static final Duration MAX_DURATION = Duration.ofSeconds(4);

  private static final FaultyProxy.Mode[] LINK_MODES = {
    FaultyProxy.Mode.DELAY,
    FaultyProxy.Mode.RESET,
    FaultyProxy.Mode.REQUESTS_HELD,
    FaultyProxy.Mode.ANSWERS_HELD,
    FaultyProxy.Mode.SILENT
  };

  private static final StoreStandIn.Fault[] STORE_FAULTS = {
    StoreStandIn.Fault.REFUSES,
    StoreStandIn.Fault.LOSES_ANSWERS,
    StoreStandIn.Fault.LATE_WRITES,
    StoreStandIn.Fault.SILENT
  };

  private static final WorkerStandIn.Fault[] WORKER_FAULTS = {
    WorkerStandIn.Fault.FAILS_TASKS,
    WorkerStandIn.Fault.LOSES_ANSWERS,
    WorkerStandIn.Fault.LATE_STARTS
  };

  private final List<Entry> entries;

  private FaultPlan(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Generates a plan for the given numbers of entry VMs and workers. */
  static FaultPlan generate(RandomGenerator random, Duration length, int vms, int workers) {
    List<Entry> entries = new ArrayList<>();
    double startMillis = 0;
    while (true) {
      startMillis += -Math.log(1 - random.nextDouble()) * MEAN_INTERVAL.toMillis();
      if (startMillis >= length.toMillis()) {
        return new FaultPlan(entries);
      }
      entries.add(
          new Entry(Duration.ofMillis((long) startMillis), randomFault(random, vms, workers)));
    }
  }

  /** Returns the faults in the order of their start times. */
  List<Entry> entries() {
    return entries;
  }

  private static Fault randomFault(RandomGenerator random, int vms, int workers) {
    Duration duration =
        Duration.ofMillis(random.nextLong(MIN_DURATION.toMillis(), MAX_DURATION.toMillis() + 1));
    return switch (random.nextInt(12)) {
      case 0, 1, 2 ->
          new Fault.ProcessFault(
              random.nextInt(vms), pick(random, Fault.ProcessAction.values()), duration);
      case 3, 4, 5, 6 -> {
        Fault.LinkKind kind = pick(random, Fault.LinkKind.values());
        int targets = kind == Fault.LinkKind.WORKER ? workers : vms;
        yield new Fault.LinkFault(
            kind, random.nextInt(targets), pick(random, LINK_MODES), duration);
      }
      case 7 -> new Fault.StoreFault(pick(random, STORE_FAULTS), duration);
      case 8 ->
          new Fault.WorkerFault(random.nextInt(workers), pick(random, WORKER_FAULTS), duration);
      case 9 -> new Fault.WorkerRestarted(random.nextInt(workers));
      case 10 -> new Fault.WorkerDrained(random.nextInt(workers), duration);
      default ->
          random.nextInt(4) == 0
              ? new Fault.StoreHistoryDropped()
              : new Fault.ConfigurationChanged();
    };
  }

  private static <T> T pick(RandomGenerator random, T[] values) {
    return values[random.nextInt(values.length)];
  }
}
