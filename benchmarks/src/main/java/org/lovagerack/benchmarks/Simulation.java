package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Runs one policy on one workload and scenario in simulated time. */
final class Simulation {

  /** Jobs sent earlier are not counted, because policies are still learning upstream speeds. */
  static final Duration WARM_UP = Duration.ofSeconds(10);

  private final Workload workload;
  private final Scenario scenario;
  private final Duration horizon;
  private final DrivenTimer timer = new DrivenTimer(Duration.ZERO);
  private final Map<String, FakeUpstream> upstreams = new LinkedHashMap<>();
  private final Map<String, TaskRecord> tasks = new HashMap<>();
  private final List<EntryVm> vms = new ArrayList<>();
  private final List<JobRun> jobs = new ArrayList<>();
  private final List<PlannedJob> arrivals;
  private final LoadExchange exchange;

  Simulation(
      Workload workload,
      Scenario scenario,
      PolicyFactory factory,
      Duration horizon,
      long seed,
      double messageWeight) {
    this.workload = workload;
    this.scenario = scenario;
    this.horizon = horizon;
    this.arrivals = new ArrivalPlan(workload, scenario, horizon, seed).draw();
    createUpstreams();
    createEntryVms(factory, new SplittableRandom(Hash.mix(seed ^ factory.name().hashCode())));
    vms.forEach(vm -> vm.policy().deploy(workload.deployment(messageWeight)));
    this.exchange = new LoadExchange(timer, vms);
  }

  RunResult run() {
    exchange.start();
    new FaultSchedule(timer, upstreams, vms, horizon).start(scenario);
    scheduleArrival(0);
    timer.advance(horizon);
    Duration drain =
        workload.kinds().stream()
            .map(KindProfile::deadline)
            .max(Comparable::compareTo)
            .orElseThrow()
            .plusSeconds(10);
    timer.advance(drain);
    int startsWhileLeaving =
        upstreams.values().stream().mapToInt(FakeUpstream::startsWhileLeaving).sum();
    return RunResult.of(workload, horizon, jobs, exchange.messages(), startsWhileLeaving);
  }

  /** Returns every job of the run, for traces. */
  List<JobRun> jobs() {
    return jobs;
  }

  private void createUpstreams() {
    for (int i = 0; i < workload.speeds().size(); i++) {
      String address = Workload.address(i);
      upstreams.put(
          address, new FakeUpstream(timer, address, workload.speeds().get(i), Workload.SLOTS));
    }
  }

  private void createEntryVms(PolicyFactory factory, SplittableRandom random) {
    int connections = Math.max(1, Workload.CONNECTIONS / workload.entryVms());
    for (int i = 0; i < workload.entryVms(); i++) {
      EntryLoop loop = new EntryLoop(timer);
      FakeTransport transport = new FakeTransport(timer, loop, upstreams, tasks, connections);
      EntryPolicy policy = factory.constructor().create(loop, transport, random.split());
      vms.add(new EntryVm(Workload.vmName(i), loop, transport, policy));
    }
  }

  /** Schedules one arrival at a time to keep the timer queue short. */
  private void scheduleArrival(int index) {
    if (index == arrivals.size()) {
      return;
    }
    PlannedJob job = arrivals.get(index);
    Duration delay = Duration.ofNanos(job.sentNanos() - timer.nanoTime());
    timer.after(
        delay,
        () -> {
          send(job);
          scheduleArrival(index + 1);
        });
  }

  private void send(PlannedJob job) {
    EntryVm vm = vms.get(job.entryVm());
    List<TaskRecord> records = job.tasks().stream().map(TaskRecord::new).toList();
    records.forEach(record -> tasks.put(record.task.key(), record));
    JobRun run = new JobRun(job, workload.user(), records, vm.loop(), vm.policy());
    jobs.add(run);
    timer.after(Workload.CALLER_LATENCY, () -> vm.loop().execute(run::receive));
    if (job.cancelNanos() >= 0) {
      Duration untilCancel =
          Duration.ofNanos(job.cancelNanos() - job.sentNanos()).plus(Workload.CALLER_LATENCY);
      timer.after(untilCancel, () -> vm.loop().execute(run::cancel));
    }
  }
}
