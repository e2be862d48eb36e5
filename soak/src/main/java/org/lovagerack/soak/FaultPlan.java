package org.lovagerack.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** Faults and their times, drawn from a seed. Faults come in series and overlap. */
final class FaultPlan {

  /** A fault and when it begins, counted from the begin of the traffic. */
  record Entry(Duration at, Fault fault) {}

  /** Mean pause between two faults; with their mean length, about three overlap. */
  private static final Duration MEAN_GAP = Duration.ofMillis(500);

  /** From a hiccup below every lease to an outage above the longest lease. */
  private static final Duration SHORTEST = Duration.ofMillis(100);

  private static final Duration LONGEST = Duration.ofSeconds(4);

  private static final FaultyProxy.Mode[] DISTURBANCES = {
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

  /** Draws a plan for a fleet. */
  static FaultPlan draw(RandomGenerator random, Duration length, int vms, int workers) {
    List<Entry> entries = new ArrayList<>();
    double atMillis = 0;
    while (true) {
      atMillis += -Math.log(1 - random.nextDouble()) * MEAN_GAP.toMillis();
      if (atMillis >= length.toMillis()) {
        return new FaultPlan(entries);
      }
      entries.add(new Entry(Duration.ofMillis((long) atMillis), drawFault(random, vms, workers)));
    }
  }

  /** Returns the faults in the order of their times. */
  List<Entry> entries() {
    return entries;
  }

  private static Fault drawFault(RandomGenerator random, int vms, int workers) {
    Duration lasting =
        Duration.ofMillis(random.nextLong(SHORTEST.toMillis(), LONGEST.toMillis() + 1));
    return switch (random.nextInt(12)) {
      case 0, 1, 2 ->
          new Fault.ProcessFault(
              random.nextInt(vms), pick(random, Fault.ProcessAction.values()), lasting);
      case 3, 4, 5, 6 -> {
        Fault.LinkKind kind = pick(random, Fault.LinkKind.values());
        int targets = kind == Fault.LinkKind.WORKER ? workers : vms;
        yield new Fault.LinkFault(
            kind, random.nextInt(targets), pick(random, DISTURBANCES), lasting);
      }
      case 7 -> new Fault.StoreFault(pick(random, STORE_FAULTS), lasting);
      case 8 ->
          new Fault.WorkerFault(random.nextInt(workers), pick(random, WORKER_FAULTS), lasting);
      case 9 -> new Fault.WorkerReborn(random.nextInt(workers));
      case 10 -> new Fault.WorkerDrained(random.nextInt(workers), lasting);
      default ->
          random.nextInt(4) == 0 ? new Fault.HistoryDropped() : new Fault.ConfigurationChanged();
    };
  }

  private static <T> T pick(RandomGenerator random, T[] values) {
    return values[random.nextInt(values.length)];
  }
}
