package org.lovagerack.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.WorkerStandIn;

/** Checks the observations of clients and workers against the guarantees of lovagerack. */
final class GuaranteeChecker {

  /** Time after which a cancelled job starts no further runs, as the platform requires. */
  static final Duration MAX_CANCELLATION_TIME = Duration.ofSeconds(4);

  /** Time that the platform allows for a change to take effect everywhere. */
  static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(3);

  /** Time without disruptions after which guarantees with a time bound apply on the platform. */
  static final Duration MIN_UNDISTURBED_TIME = Duration.ofSeconds(4);

  /** Attempts per task that the soak configures. */
  static final int MAX_ATTEMPTS = 3;

  private record WorkerRun(int worker, int run) {}

  private static final class TaskHistory {
    private final List<WorkerRun> activeRuns = new ArrayList<>();

    /** Completed runs, and whether another run was started afterwards. */
    private final Map<WorkerRun, Boolean> completedRuns = new HashMap<>();

    private boolean completionAcknowledged;
  }

  private final TimerService timer;
  private final boolean checkTimeBounds;
  private final Disruptions disruptions;
  private final Consumer<String> violationListener;
  private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
  private final Map<String, TaskHistory> tasks = new HashMap<>();
  private final Map<Integer, Long> drainStartNanos = new HashMap<>();
  private final Map<Integer, Long> observedConfigurations = new HashMap<>();

  /**
   * Creates a checker.
   *
   * @param checkTimeBounds whether guarantees with a time bound are checked
   * @param violationListener receives a description of each violated guarantee
   */
  GuaranteeChecker(
      TimerService timer,
      boolean checkTimeBounds,
      Disruptions disruptions,
      Consumer<String> violationListener) {
    this.timer = timer;
    this.checkTimeBounds = checkTimeBounds;
    this.disruptions = disruptions;
    this.violationListener = violationListener;
  }

  /** Adds a job; call this before its first attempt. */
  void add(JobHistory job) {
    jobs.put(job.id(), job);
  }

  /** Returns the durable jobs whose acceptance a client has seen. */
  List<JobHistory> acceptedDurableJobs() {
    return jobs.values().stream().filter(job -> job.isDurable() && job.wasAccepted()).toList();
  }

  /** Returns the numbers of all, accepted and refused jobs. */
  String summary() {
    long accepted = jobs.values().stream().filter(JobHistory::wasAccepted).count();
    long refused = jobs.values().stream().filter(JobHistory::wasRefused).count();
    return "jobs=%d accepted=%d refused=%d".formatted(jobs.size(), accepted, refused);
  }

  /** Returns an observer of one worker's runs. */
  WorkerStandIn.Observer observe(int worker) {
    return new WorkerStandIn.Observer() {
      @Override
      public void started(WorkerStandIn.Start start) {
        checkStart(worker, start);
      }

      @Override
      public void ended(String task, int run, String outcome) {
        recordEnd(worker, task, run, outcome);
      }

      @Override
      public void acknowledged(String task, int run) {
        TaskHistory history = tasks.get(task);
        Boolean startedAfterwards = history.completedRuns.get(new WorkerRun(worker, run));
        if (startedAfterwards != null) {
          history.completionAcknowledged = true;
          if (startedAfterwards && jobOf(task).isDurable()) {
            violationListener.accept(
                task + " was started again after a run whose completion was acknowledged later");
          }
        }
      }
    };
  }

  private void checkStart(int worker, WorkerStandIn.Start start) {
    JobHistory job = jobs.get(jobId(start.task()));
    if (job == null) {
      violationListener.accept(start.task() + " was started, but no client submitted its job");
      return;
    }
    if (!start.specification().equals(job.specification())) {
      violationListener.accept(start.task() + " was started with the specification of another job");
    }
    TaskHistory task = tasks.computeIfAbsent(start.task(), ignored -> new TaskHistory());
    if (!task.activeRuns.isEmpty()) {
      violationListener.accept(
          start.task()
              + " run "
              + start.run()
              + " was started on worker "
              + worker
              + " concurrently with "
              + task.activeRuns.getFirst());
    }
    if (job.isDurable() && task.completionAcknowledged) {
      violationListener.accept(
          start.task() + " was started after its completion had been acknowledged");
    }
    task.completedRuns.replaceAll((run, startedAfterwards) -> true);
    if (job.wasRefused()) {
      violationListener.accept(start.task() + " was started after every attempt was refused");
    }
    if (!job.mayStart(stepOf(start.task()))) {
      violationListener.accept(start.task() + " was started before the step that it follows ended");
    }
    checkCancelled(start, job);
    checkDrained(worker, start);
    job.addStartedTask(start.task());
    task.activeRuns.add(new WorkerRun(worker, start.run()));
  }

  private void checkCancelled(WorkerStandIn.Start start, JobHistory job) {
    OptionalLong cancelled = job.cancelConfirmedNanos();
    if (cancelled.isPresent()
        && checkTimeBounds
        && elapsedNanos(cancelled.getAsLong()) > MAX_CANCELLATION_TIME.toNanos()) {
      violationListener.accept(start.task() + " was started although its job is cancelled");
    }
  }

  private void checkDrained(int worker, WorkerStandIn.Start start) {
    Long drainStart = drainStartNanos.get(worker);
    if (checkTimeBounds
        && drainStart != null
        && elapsedNanos(drainStart) > MAX_PROPAGATION_TIME.toNanos()
        && disruptions.noDisruptionSince(
            subject -> !subject.startsWith("client"),
            drainStart - MIN_UNDISTURBED_TIME.toNanos())) {
      violationListener.accept(
          start.task() + " was started on worker " + worker + ", which is draining");
    }
  }

  private void recordEnd(int worker, String taskId, int run, String outcome) {
    TaskHistory task = tasks.get(taskId);
    task.activeRuns.remove(new WorkerRun(worker, run));
    switch (outcome) {
      case "done" -> {
        task.completedRuns.put(new WorkerRun(worker, run), false);
        jobOf(taskId).addCompletedTask(taskId);
      }
      case "failed" -> jobOf(taskId).addFailedRun();
      default -> {
        // A run that was stopped, or lost with the worker's state, does not determine the outcome.
      }
    }
  }

  /** Records that a worker starts or stops draining. */
  void setDraining(int worker, boolean draining) {
    if (draining) {
      drainStartNanos.put(worker, timer.nanoTime());
    } else {
      drainStartNanos.remove(worker);
    }
  }

  /** Checks the state of a job that a client received. */
  void checkState(JobHistory job, String state) {
    switch (state) {
      case "completed" -> {
        job.setEnded();
        if (!job.hasCompletedAllTasks()) {
          violationListener.accept(
              job.id() + " is reported as completed, but not all of its tasks were completed");
        }
      }
      case "failed" -> {
        job.setEnded();
        if (job.failedRuns() < MAX_ATTEMPTS) {
          violationListener.accept(
              job.id() + " is reported as failed after " + job.failedRuns() + " failed runs");
        }
      }
      case "cancelled" -> {
        job.setEnded();
        if (!job.wasCancelRequested()) {
          violationListener.accept(
              job.id() + " is reported as cancelled, but no client cancelled it");
        }
      }
      default -> {
        // The job has not ended.
      }
    }
  }

  /** Checks a durable job that an entry VM reports as unknown. */
  void checkUnknownJob(JobHistory job, int vm) {
    if (job.acceptedNanos().isPresent()
        && elapsedNanos(job.acceptedNanos().getAsLong()) > MAX_PROPAGATION_TIME.toNanos()) {
      violationListener.accept(job.id() + " was accepted, but VM " + vm + " does not know it");
    }
  }

  /** Records that an entry VM has a new process, which has no configuration yet. */
  void recordRestart(int vm) {
    observedConfigurations.remove(vm);
  }

  /** Checks that the configuration version of an entry VM never decreases. */
  void checkConfiguration(int vm, long version) {
    long previous = observedConfigurations.getOrDefault(vm, 0L);
    if (version < previous) {
      violationListener.accept(
          "VM " + vm + " went back from configuration " + previous + " to " + version);
    }
    observedConfigurations.put(vm, version);
  }

  /** Checks an entry VM that has not applied the newest configuration. */
  void checkMissingConfiguration(int vm, long version, long publishedNanos, long sentNanos) {
    boolean undisturbed =
        disruptions.noDisruptionSince(
            subject ->
                subject.equals("store")
                    || subject.equals("process " + vm)
                    || subject.equals("STORE link " + vm),
            publishedNanos - MIN_UNDISTURBED_TIME.toNanos());
    if (checkTimeBounds
        && undisturbed
        && sentNanos - publishedNanos > MAX_PROPAGATION_TIME.toNanos()
        && observedConfigurations.getOrDefault(vm, 0L) < version) {
      violationListener.accept("VM " + vm + " did not apply configuration " + version + " in time");
    }
  }

  /**
   * Checks a request without a complete response. An entry VM whose process and client connections
   * were not disrupted has to respond to requests that were sent before a graceful shutdown.
   */
  void checkUnanswered(int vm, String request, long sentNanos) {
    String process = "process " + vm;
    boolean undisturbed =
        disruptions.noUnplannedDisruptionSince(
            subject -> subject.equals(process) || subject.equals("CLIENT link " + vm),
            sentNanos - MIN_UNDISTURBED_TIME.toNanos());
    if (undisturbed && !disruptions.isPlannedWorkActiveAt(process, sentNanos)) {
      violationListener.accept(request + " got no complete response from VM " + vm);
    }
  }

  /** Checks the guarantees that can only be decided at the end of the soak. */
  void checkAtEnd() {
    for (JobHistory job : jobs.values()) {
      if (job.wasRefused() && job.hasStarted()) {
        violationListener.accept(job.id() + " was refused as not run, but it was started");
      }
      if (job.isDurable() && job.wasAccepted() && !job.hasEnded()) {
        violationListener.accept(job.id() + " was accepted but did not end");
      }
    }
  }

  private long elapsedNanos(long sinceNanos) {
    return timer.nanoTime() - sinceNanos;
  }

  private JobHistory jobOf(String task) {
    return jobs.get(jobId(task));
  }

  /** Returns the step in a task's name, which ends with the step and the index in it. */
  private static int stepOf(String task) {
    List<String> parts = List.of(task.split("\\.", -1));
    return parts.size() < 2 ? 0 : Integer.parseInt(parts.get(parts.size() - 2));
  }

  private static String jobId(String task) {
    int dot = task.indexOf('.');
    return dot < 0 ? task : task.substring(0, dot);
  }
}
