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

/** Checks what callers and workers see against what lovagerack promises them. */
final class Promises {

  /** A cancelled job starts nothing from then on; the platform's bound. */
  static final Duration CANCEL_WITHIN = Duration.ofSeconds(4);

  /** Time that the platform allows between a change and its effect everywhere. */
  static final Duration CHANGE_WITHIN = Duration.ofSeconds(3);

  /** A part counts as undisturbed when it has been so for this time; the platform's figure. */
  static final Duration CALM_FOR = Duration.ofSeconds(4);

  /** Attempts that the configuration of the soak allows a task. */
  static final int ATTEMPTS = 3;

  private record RunAtWork(int worker, int run) {}

  private static final class TaskHistory {
    private final List<RunAtWork> atWork = new ArrayList<>();

    /** Runs that ended as done, and whether another run was started afterwards. */
    private final Map<RunAtWork, Boolean> done = new HashMap<>();

    private boolean doneAcknowledged;
  }

  private final TimerService timer;
  private final boolean timed;
  private final Disruptions disruptions;
  private final Consumer<String> violation;
  private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
  private final Map<String, TaskHistory> tasks = new HashMap<>();
  private final Map<Integer, Long> drainedNanos = new HashMap<>();
  private final Map<Integer, Long> configurationsInForce = new HashMap<>();

  /**
   * Creates a checker.
   *
   * @param timed whether promises with a time bound are checked
   * @param violation gets a sentence on each broken promise
   */
  Promises(TimerService timer, boolean timed, Disruptions disruptions, Consumer<String> violation) {
    this.timer = timer;
    this.timed = timed;
    this.disruptions = disruptions;
    this.violation = violation;
  }

  /** Adds a job before its first attempt. */
  void add(JobHistory job) {
    jobs.put(job.id(), job);
  }

  /** Returns the jobs that were stored for their clients, as far as these know. */
  List<JobHistory> acceptedKeptJobs() {
    return jobs.values().stream().filter(job -> job.isKept() && job.wasAccepted()).toList();
  }

  /** Returns the number of jobs and of those that were accepted. */
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
      public void ended(String task, int run, String how) {
        noteEnd(worker, task, run, how);
      }

      @Override
      public void acknowledged(String task, int run) {
        TaskHistory history = tasks.get(task);
        Boolean startedAfterwards = history.done.get(new RunAtWork(worker, run));
        if (startedAfterwards != null) {
          history.doneAcknowledged = true;
          if (startedAfterwards && jobOf(task).isKept()) {
            violation.accept(task + " was started after an end that is now acknowledged");
          }
        }
      }
    };
  }

  private void checkStart(int worker, WorkerStandIn.Start start) {
    JobHistory job = jobs.get(jobId(start.task()));
    if (job == null) {
      violation.accept(start.task() + " was started, but nobody submitted its job");
      return;
    }
    if (!start.specification().equals(job.specification())) {
      violation.accept(start.task() + " was started with work of another job");
    }
    TaskHistory task = tasks.computeIfAbsent(start.task(), ignored -> new TaskHistory());
    if (!task.atWork.isEmpty()) {
      violation.accept(
          start.task()
              + " run "
              + start.run()
              + " was started on worker "
              + worker
              + " beside "
              + task.atWork.getFirst());
    }
    if (job.isKept() && task.doneAcknowledged) {
      violation.accept(start.task() + " was started after its acknowledged end");
    }
    task.done.replaceAll((run, startedAfterwards) -> true);
    if (job.wasRefused()) {
      violation.accept(start.task() + " was started after every attempt was refused");
    }
    checkCancelled(start, job);
    checkDrained(worker, start);
    job.addStart(start.task());
    task.atWork.add(new RunAtWork(worker, start.run()));
  }

  private void checkCancelled(WorkerStandIn.Start start, JobHistory job) {
    OptionalLong cancelled = job.cancelledNanos();
    if (cancelled.isPresent() && timed && since(cancelled.getAsLong()) > CANCEL_WITHIN.toNanos()) {
      violation.accept(start.task() + " was started although its job is cancelled");
    }
  }

  private void checkDrained(int worker, WorkerStandIn.Start start) {
    Long drained = drainedNanos.get(worker);
    if (timed
        && drained != null
        && since(drained) > CHANGE_WITHIN.toNanos()
        && disruptions.calmSince(
            subject -> !subject.startsWith("client"), drained - CALM_FOR.toNanos())) {
      violation.accept(start.task() + " was started on worker " + worker + ", which drains");
    }
  }

  private void noteEnd(int worker, String taskId, int run, String how) {
    TaskHistory task = tasks.get(taskId);
    task.atWork.remove(new RunAtWork(worker, run));
    switch (how) {
      case "done" -> {
        task.done.put(new RunAtWork(worker, run), false);
        jobOf(taskId).addDone(taskId);
      }
      case "failed" -> jobOf(taskId).addFailedRun();
      default -> {
        // A run that was stopped or vanished says nothing of its task.
      }
    }
  }

  /** Notes that a worker drains from now on, or that it no longer does. */
  void setDrained(int worker, boolean drained) {
    if (drained) {
      drainedNanos.put(worker, timer.nanoTime());
    } else {
      drainedNanos.remove(worker);
    }
  }

  /** Checks the state of a job that a client was shown. */
  void checkState(JobHistory job, String state) {
    switch (state) {
      case "completed" -> {
        job.setEnded();
        if (!job.isDone()) {
          violation.accept(job.id() + " is shown as completed, but not all of its tasks ended");
        }
      }
      case "failed" -> {
        job.setEnded();
        if (job.failedRuns() < ATTEMPTS) {
          violation.accept(
              job.id() + " is shown as failed after " + job.failedRuns() + " failed runs");
        }
      }
      case "cancelled" -> {
        job.setEnded();
        if (!job.wasCancelTried()) {
          violation.accept(job.id() + " is shown as cancelled, but nobody cancelled it");
        }
      }
      default -> {
        // The job goes on.
      }
    }
  }

  /** Checks a job that an entry VM does not know although a client was told that it is stored. */
  void checkUnknown(JobHistory job, int vm) {
    if (job.acceptedNanos().isPresent()
        && since(job.acceptedNanos().getAsLong()) > CHANGE_WITHIN.toNanos()) {
      violation.accept(job.id() + " was accepted, but VM " + vm + " does not know it");
    }
  }

  /** Notes that a new process serves an entry VM, which knows no configuration yet. */
  void restarted(int vm) {
    configurationsInForce.remove(vm);
  }

  /** Checks the version of the configuration that an entry VM follows; versions never go back. */
  void checkConfiguration(int vm, long version) {
    long before = configurationsInForce.getOrDefault(vm, 0L);
    if (version < before) {
      violation.accept("VM " + vm + " went back from configuration " + before + " to " + version);
    }
    configurationsInForce.put(vm, version);
  }

  /** Checks a request that an entry VM handled without the newest configuration. */
  void checkMissingConfiguration(int vm, long version, long publishedNanos, long sentNanos) {
    boolean calm =
        disruptions.calmSince(
            subject ->
                subject.equals("store")
                    || subject.equals("process " + vm)
                    || subject.equals("STORE link " + vm),
            publishedNanos - CALM_FOR.toNanos());
    if (timed
        && calm
        && sentNanos - publishedNanos > CHANGE_WITHIN.toNanos()
        && configurationsInForce.getOrDefault(vm, 0L) < version) {
      violation.accept("VM " + vm + " does not follow configuration " + version + " in time");
    }
  }

  /**
   * Checks a request that got no whole answer: an entry VM whose process and connections were not
   * disturbed answers, also while it stops as planned.
   */
  void checkUnanswered(int vm, String request, long sentNanos) {
    String process = "process " + vm;
    boolean sound =
        disruptions.soundSince(
            subject -> subject.equals(process) || subject.equals("CLIENT link " + vm),
            sentNanos - CALM_FOR.toNanos());
    if (sound && !disruptions.plannedWorkAt(process, sentNanos)) {
      violation.accept(request + " got no whole answer from VM " + vm);
    }
  }

  /** Checks what can only be said at the end. */
  void checkEnd() {
    for (JobHistory job : jobs.values()) {
      if (job.wasRefused() && job.hasStarted()) {
        violation.accept(job.id() + " was refused as not run, but it was started");
      }
      if (job.isKept() && job.wasAccepted() && !job.hasEnded()) {
        violation.accept(job.id() + " was accepted and did not end");
      }
    }
  }

  private long since(long nanos) {
    return timer.nanoTime() - nanos;
  }

  private JobHistory jobOf(String task) {
    return jobs.get(jobId(task));
  }

  private static String jobId(String task) {
    int dot = task.indexOf('.');
    return dot < 0 ? task : task.substring(0, dot);
  }
}
