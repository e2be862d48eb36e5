package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Measures processor time of submission and dispatch per task start and per job. */
final class StartMeasurements {

  private static final Duration RUN_TIME = Duration.ofMillis(125);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(10);
  private static final int TASKS_PER_JOB = 50;
  private static final int TEAMS = 180;

  private final CapacitySizes sizes;

  StartMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() {
    Measurement perJob =
        new Measurement("processor time of a job, decision code", "µs", "tasks in the job");
    // Warm up the JIT compiler.
    sizes.jobSizes().forEach(tasks -> microsPerJob(sizes.maxDomainUpstreams(), tasks));
    for (int tasks : sizes.jobSizes()) {
      perJob.add(tasks, microsPerJob(sizes.maxDomainUpstreams(), tasks));
    }
    Measurement perUpstream =
        new Measurement(
            "processor time of a start in jobs of " + TASKS_PER_JOB,
            "µs",
            "upstreams of the service");
    for (int upstreams : sizes.domainUpstreams()) {
      perUpstream.add(upstreams, microsPerJob(upstreams, TASKS_PER_JOB) / TASKS_PER_JOB);
    }
    List<Measurement> all = new ArrayList<>(List.of(perJob, perUpstream));
    all.add(measureLoadReport());
    return all;
  }

  /** Runs jobs at a constant rate after a warm-up with the same number of jobs. */
  private double microsPerJob(int upstreams, int tasks) {
    EntryModel model =
        new EntryModel(Samples.singleDomain(upstreams, 8, TEAMS), RUN_TIME, TIME_LIMIT);
    int jobs = Math.max(1, sizes.starts() / tasks);
    Duration gap = Duration.ofNanos(1_000_000_000L * tasks / sizes.startsPerSecond());
    submitAll(model, jobs, tasks, gap);
    long startsBefore = model.transport.starts();
    long nanos = ProcessorTime.of(() -> submitAll(model, jobs, tasks, gap));
    if (model.transport.starts() - startsBefore != (long) jobs * tasks
        || model.answered() != 2L * jobs) {
      throw new IllegalStateException(
          "%d starts and %d answers of %d jobs of %d tasks"
              .formatted(model.transport.starts() - startsBefore, model.answered(), jobs, tasks));
    }
    return nanos / 1e3 / jobs;
  }

  private static void submitAll(EntryModel model, int jobs, int tasks, Duration gap) {
    for (int job = 0; job < jobs; job++) {
      model.submit(tasks, Samples.team(job % TEAMS));
      model.timer.advance(gap);
    }
    model.timer.advance(Duration.ofSeconds(2));
  }

  /** Measures how long the dispatcher takes to process the load report of one peer. */
  private Measurement measureLoadReport() {
    Measurement measurement =
        new Measurement(
            "processor time of a peer's load report in the dispatcher",
            "µs",
            "upstreams whose count changed");
    for (int round = 0; round < 2; round++) {
      for (int upstreams : sizes.domainUpstreams()) {
        double micros = microsPerReport(upstreams);
        if (round == 1) {
          measurement.add(upstreams, micros);
        }
      }
    }
    return measurement;
  }

  private double microsPerReport(int upstreams) {
    EntryModel model =
        new EntryModel(Samples.singleDomain(upstreams, 8, TEAMS), RUN_TIME, TIME_LIMIT);
    Random random = new Random(1);
    List<Map<String, Integer>> reports = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      reports.add(sampleReport(upstreams, i % 2, random));
    }
    int rounds = sizes.repetitions();
    long nanos =
        ProcessorTime.of(
            () -> {
              for (int i = 0; i < rounds; i++) {
                model.dispatcher.peerLoads("peer", reports.get(i % reports.size()));
                model.timer.advance(Duration.ofMillis(20));
              }
            });
    return nanos / 1e3 / rounds;
  }

  /** Returns load counts that differ, for every upstream, from those of the other parity. */
  private static Map<String, Integer> sampleReport(int upstreams, int parity, Random random) {
    Map<String, Integer> report = new HashMap<>();
    for (int upstream = 0; upstream < upstreams; upstream++) {
      report.put(Samples.address(upstream), 1 + parity + 2 * random.nextInt(3));
    }
    return report;
  }
}
