package org.lovagerack.benchmarks.capacity;

import java.lang.ref.Reference;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;
import org.lovagerack.notes.Deployment;

/** Measures the heap retained by items after garbage collection. */
final class MemoryMeasurements {

  private static final Duration NEVER_ENDS = Duration.ZERO;
  private static final Duration DAY = Duration.ofDays(1);
  private static final Duration SHORT_RUN_TIME = Duration.ofMillis(1);

  private final CapacitySizes sizes;

  MemoryMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() {
    return List.of(
        measure("job of one task in flight", sizes.retainedItems(), this::jobsInFlight),
        measure("queued task, in jobs of 100", sizes.retainedItems(), this::queuedTasks),
        measure("retained answer of a job of one task", sizes.retainedItems(), this::answers),
        measure("upstream in the dispatcher", sizes.definitions(), this::upstreams),
        measure("team in the dispatcher, in use", sizes.retainedItems(), this::teams),
        measure(
            "release-note entry (upstream) in force",
            sizes.definitions(),
            count -> Samples.deployment(1, count, 0)));
  }

  private static Measurement measure(
      String item, List<Integer> counts, IntFunction<Object> createHolder) {
    Measurement measurement = new Measurement("heap of " + item, "B", "items");
    // Warm up: the first run loads classes and fills permanent caches.
    retainedBytes(counts.getFirst(), createHolder);
    for (int count : counts) {
      measurement.add(count, retainedBytes(count, createHolder));
    }
    return measurement;
  }

  private static long retainedBytes(int count, IntFunction<Object> createHolder) {
    long before = Heap.usedBytes();
    Object holder = createHolder.apply(count);
    try {
      return Heap.usedBytes() - before;
    } finally {
      Reference.reachabilityFence(holder);
    }
  }

  private Object jobsInFlight(int count) {
    EntryModel model =
        new EntryModel(Samples.singleDomain(sizes.maxDomainUpstreams(), 1_000, 1), NEVER_ENDS, DAY);
    for (int job = 0; job < count; job++) {
      model.submit(1, Samples.team(0));
    }
    model.timer.advance(Duration.ofMillis(1));
    requireCount(model.transport.starts(), count);
    return model;
  }

  private Object queuedTasks(int count) {
    int perJob = Math.min(count, 100);
    EntryModel model = new EntryModel(Samples.singleDomain(1, 1, 1), NEVER_ENDS, DAY);
    for (int job = 0; job < count / perJob; job++) {
      model.submit(perJob, Samples.team(0));
    }
    model.timer.advance(Duration.ofMillis(1));
    requireCount(model.dispatcher.queuedTasks(), count / perJob * perJob - 1);
    return model;
  }

  /** Retains answers within their retention time of 60 s. */
  private Object answers(int count) {
    EntryModel model =
        new EntryModel(
            Samples.singleDomain(sizes.maxDomainUpstreams(), 1_000, 1), SHORT_RUN_TIME, DAY);
    for (int job = 0; job < count; job++) {
      model.submit(1, Samples.team(0));
    }
    model.timer.advance(Duration.ofMillis(100));
    requireCount(model.answered(), count);
    return model;
  }

  private Object upstreams(int count) {
    Deployment deployment = Samples.singleDomain(count, 8, 0);
    return new EntryModel(deployment, NEVER_ENDS, DAY);
  }

  private Object teams(int count) {
    EntryModel model = new EntryModel(Samples.singleDomain(1, 1, count), SHORT_RUN_TIME, DAY);
    for (int team = 0; team < count; team++) {
      model.submit(1, Samples.team(team));
      model.timer.advance(Duration.ofMillis(5));
    }
    return model;
  }

  private static void requireCount(long actual, long expected) {
    if (actual != expected) {
      throw new IllegalStateException(actual + " retained items, expected " + expected);
    }
  }
}
