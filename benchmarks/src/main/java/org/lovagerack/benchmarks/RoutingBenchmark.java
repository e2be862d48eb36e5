package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.dispatch.DispatchObserver;
import org.lovagerack.dispatch.DispatchSettings;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.TeamQuota;
import org.lovagerack.notes.UpstreamDefinition;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of one dispatcher decision with 70 % of the slots in use. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingBenchmark implements UpstreamTransport {

  private static final String SERVICE = "service";
  private static final String KIND = "kind";
  private static final Duration RUN_TIME = Duration.ofMillis(100);
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final AttemptResult SUCCESS =
      new AttemptResult.Answered(200, Bytes.empty(), false);

  /** Number of upstreams. */
  @Param({"30", "100", "300", "1000"})
  public int upstreams;

  private final DrivenTimer timer = new DrivenTimer();
  private final Queue<AttemptListener> inFlight = new ArrayDeque<>();
  private Dispatcher dispatcher;
  private long tasks;

  /** Fills 70 % of the slots and warms up the run-time estimates of the dispatcher. */
  @Setup(Level.Trial)
  public void fill() {
    dispatcher =
        new Dispatcher(
            timer,
            this,
            new SplittableRandom(1),
            DispatchSettings.defaults(),
            DispatchObserver.none());
    dispatcher.deploy(deployment());
    for (int i = 0; i < 10 * targetInFlight(); i++) {
      submitToStart();
      answerOldest();
    }
  }

  /** Submits one task and hands it to the transport. */
  @Benchmark
  public int submitToStart() {
    dispatcher.submit(task(), outcome -> {});
    timer.advance(Duration.ZERO);
    return inFlight.size();
  }

  /** Decides the admission of one job of 85 tasks. */
  @Benchmark
  public Optional<Failure> admission() {
    return dispatcher.admit(
        new AdmissionRequest(SERVICE, KIND, Workload.TEAM, true, 85, RUN_TIME, deadline()));
  }

  /** Answers the oldest attempt, which keeps the number in flight constant. */
  @TearDown(Level.Invocation)
  public void answerOldest() {
    if (inFlight.size() > targetInFlight()) {
      timer.advance(RUN_TIME.dividedBy(targetInFlight()));
      inFlight.remove().onResult(SUCCESS);
    }
  }

  @Override
  public Attempt start(AttemptRequest request, AttemptListener listener) {
    inFlight.add(listener);
    return () -> inFlight.remove(listener);
  }

  @Override
  public void limitConnections(String upstream, int connections) {}

  @Override
  public void closeIdleConnections(String upstream) {}

  private int targetInFlight() {
    return upstreams * Workload.SLOTS * 7 / 10;
  }

  private TaskSpec task() {
    tasks++;
    return new TaskSpec(
        "task/" + tasks,
        SERVICE,
        KIND,
        Workload.TEAM,
        true,
        false,
        RUN_TIME,
        deadline(),
        Bytes.empty());
  }

  private long deadline() {
    return timer.nanoTime() + DEADLINE.toNanos();
  }

  private Deployment deployment() {
    ServiceDefinition service =
        new ServiceDefinition(
            SERVICE, "/run", 0.5, 0.1, 3, 100_000, Duration.ofMinutes(2), Set.of(), 0.99);
    Map<String, UpstreamDefinition> definitions = new HashMap<>();
    for (int i = 0; i < upstreams; i++) {
      String address = "10.0.%d.%d:8080".formatted(i / 250, i % 250 + 1);
      definitions.put(
          address,
          new UpstreamDefinition(address, SERVICE, "fd", Workload.SLOTS, Workload.CONNECTIONS));
    }
    TeamQuota quota = new TeamQuota(Workload.TEAM, 1_000_000, 1_000_000);
    return new Deployment(1, Map.of(SERVICE, service), definitions, Map.of(Workload.TEAM, quota));
  }
}
