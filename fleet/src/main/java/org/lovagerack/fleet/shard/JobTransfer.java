package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.CarriedState;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobSite;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Transfers jobs that no worker of the shard can run to a shard whose workers can, and takes them
 * back. Answers the load of tasks that need a label or a size that few workers have. A job is
 * transferred only while none of its tasks can be running, and at most one shard starts its tasks
 * at any time: a durable job changes its site by a transaction of the shard that gives it away. A
 * best-effort job takes along what it has run, so that no shard runs it again or refuses it as not
 * run; one that no shard can continue ends at once.
 */
final class JobTransfer {

  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Pause between two requests to a host that answers with the present state of a job. */
  private static final Duration REQUEST_PAUSE = Duration.ofMillis(20);

  /** Upper limit only; a best-effort job is abandoned when its client has left. */
  private static final Duration BEST_EFFORT_TIMEOUT = Duration.ofSeconds(60);

  private static final JobAnswer UNKNOWN_OUTCOME =
      new JobAnswer.Unresolved(ErrorKind.OUTCOME_UNKNOWN);

  private static final EventLog LOG = new EventLog(JobTransfer.class);

  private final OwnedShardFactory dependencies;
  private final DecisionLog log;
  private final JobRegistry registry;
  private final JobFinalizer finalizer;
  private final WorkerSessions sessions;
  private final WorkerDirectory directory;
  private final Suitability suitability;
  private final LossTracker losses;
  private final RunTracker runs;
  private final Placer placer;
  private final Predicate<Job> mayStart;
  private final BooleanSupplier workersReported;
  private final Set<Job> cancelled = new HashSet<>();
  private final Set<Job> returning = new HashSet<>();
  private final Map<String, Submission> bestEffort = new HashMap<>();

  /**
   * Creates an instance without transferred jobs.
   *
   * @param directory workers of all shards
   * @param mayStart returns whether tasks of a job may start now
   * @param workersReported returns whether the workers have had time to report to this owner
   */
  JobTransfer(
      OwnedShardFactory dependencies,
      DecisionLog log,
      JobRegistry registry,
      JobFinalizer finalizer,
      WorkerSessions sessions,
      WorkerDirectory directory,
      Suitability suitability,
      LossTracker losses,
      RunTracker runs,
      Placer placer,
      Predicate<Job> mayStart,
      BooleanSupplier workersReported) {
    this.dependencies = dependencies;
    this.log = log;
    this.registry = registry;
    this.finalizer = finalizer;
    this.sessions = sessions;
    this.directory = directory;
    this.suitability = suitability;
    this.losses = losses;
    this.runs = runs;
    this.placer = placer;
    this.mayStart = mayStart;
    this.workersReported = workersReported;
  }

  /** Returns whether each step of a new job has a listed worker, in any shard, that can run it. */
  boolean isPossible(Job job) {
    String service = placer.service(job);
    return job.remainingSteps()
        .allMatch(
            step ->
                directory.entries().stream()
                    .anyMatch(worker -> suitability.canRun(service, step, worker)));
  }

  /** Returns whether a listed worker of the shard can run one of the tasks whose turn it is. */
  boolean canStartHere(Job job) {
    String service = placer.service(job);
    return job.readyTasks().anyMatch(task -> sessions.canRun(service, task.step()));
  }

  /** Transfers or hands back the queued jobs that no worker of the shard can run. */
  void check() {
    registry.all().forEach(this::check);
  }

  /** Does the same for one job. */
  void check(Job job) {
    if (!workersReported.getAsBoolean() || !isIdle(job) || canStartHere(job)) {
      return;
    }
    OptionalInt shard = shardForReadyTasks(job);
    if (job.hosted()) {
      // A durable job waits here as well as there; a best-effort job is ended by its home.
      if (shard.isPresent() || job.bestEffort()) {
        logTransfer(LogEvent.JOB_HANDED_BACK, job, shard);
        finalizer.handBack(job);
      }
    } else if (!job.bestEffort()) {
      shard.ifPresent(host -> transfer(job, host));
    } else if (shard.isPresent()) {
      submitElsewhere(job, shard.getAsInt());
    } else if (canGoNowhere(job)) {
      end(job, JobIntake.NO_SUITABLE_WORKER, "no listed worker can run it");
    }
  }

  /** Continues with a job that a former owner transferred. */
  void resume(Job job) {
    request(job);
  }

  /** Cancels a durable job at its host; the job ends when the host has confirmed. */
  void cancel(Job job) {
    cancelled.add(job);
    request(job);
  }

  /** Abandons a transferred best-effort job that has ended here. */
  void release(Job job) {
    Submission submission = bestEffort.remove(job.id());
    if (submission != null && job.site() instanceof JobSite.Transferred transferred) {
      dependencies
          .neighbours()
          .host(transferred.hostShard())
          .ifPresent(host -> host.abandon(submission));
    }
  }

  /** Returns whether no task of a job is running or may be started before the next event. */
  private boolean isIdle(Job job) {
    if (job.phase() != Job.Phase.ACTIVE || job.transferred() || !mayStart.test(job)) {
      return false;
    }
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.ASSIGNED
          || sessions.mayBeRunning(task.id())
          || (task.phase() == Task.Phase.WAITING && !losses.mayStart(task))) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether it is known that no worker of the shard can run one of the ready tasks. */
  private boolean canGoNowhere(Job job) {
    String service = placer.service(job);
    List<StepSpec> steps = job.readyTasks().map(Task::step).distinct().toList();
    return !steps.isEmpty() && steps.stream().allMatch(step -> sessions.noneCanRun(service, step));
  }

  /**
   * Returns a shard with a listed worker for one of the job's ready tasks; jobs are spread over
   * these workers.
   */
  private OptionalInt shardForReadyTasks(Job job) {
    String service = placer.service(job);
    List<StepSpec> steps = job.readyTasks().map(Task::step).distinct().toList();
    List<Integer> shards = new ArrayList<>();
    for (WorkerEntry worker : directory.entries()) {
      OptionalInt shard = dependencies.neighbours().otherShardOf(worker.id());
      if (shard.isPresent()
          && steps.stream().anyMatch(step -> suitability.canRun(service, step, worker))) {
        shards.add(shard.getAsInt());
      }
    }
    return shards.isEmpty()
        ? OptionalInt.empty()
        : OptionalInt.of(shards.get(Math.floorMod(job.id().hashCode(), shards.size())));
  }

  /** Submits a best-effort job, with what it has run so far, to a shard that can continue it. */
  private void submitElsewhere(Job job, int shard) {
    Optional<JobHost> host = dependencies.neighbours().host(shard);
    if (host.isEmpty()) {
      waitForHost(job, "the shard whose workers can run it has no owner");
      return;
    }
    registry.queue().remove(job);
    CarriedState carried = job.carriedState(dependencies.wallMillis().getAsLong());
    job.site(new JobSite.Transferred(shard, job.site().transfers() + 1, carried.nextRun()));
    logTransfer(LogEvent.JOB_TRANSFERRED, job, OptionalInt.of(shard));
    Submission submission =
        new Submission(
            job.id(),
            job.queue(),
            job.submitted().spec(),
            BEST_EFFORT_TIMEOUT,
            dependencies.entryLiveness().self(),
            job.repeated(),
            Optional.of(carried));
    bestEffort.put(job.id(), submission);
    host.get()
        .submit(
            submission,
            answer -> {
              if (!log.closed()
                  && job.phase() == Job.Phase.ACTIVE
                  && bestEffort.remove(job.id(), submission)) {
                answeredByHost(job, carried, answer);
              }
            });
  }

  private void answeredByHost(Job job, CarriedState sent, JobAnswer answer) {
    switch (answer) {
      case JobAnswer.State state when state.state().ended() -> finalizer.end(job, state.state());
      case JobAnswer.HandedBack handedBack -> {
        continueHere(job, handedBack.handback());
        if (handedBack.handback().nextRun() > sent.nextRun()) {
          check(job);
        } else {
          waitForHost(job, "the shard whose workers could run it handed it back");
        }
      }
      case JobAnswer.Refused refused -> {
        continueHere(job, sent);
        if (job.neverRan()) {
          end(job, refused, "the shard whose workers can run it refused it");
        } else {
          waitForHost(job, "the shard whose workers can run it refused it");
        }
      }
      default -> end(job, UNKNOWN_OUTCOME, "the shard that ran it answered " + answer);
    }
  }

  /** Takes back a best-effort job that its host does not run any further. */
  private void continueHere(Job job, CarriedState carried) {
    job.site(new JobSite.Home(job.site().transfers(), carried.nextRun()));
    job.takeOver(carried, dependencies.timer().nanoTime());
    if (!carried.progress().lostRuns().isEmpty()) {
      losses.watch(job);
      finalizer.storeLosses(job);
    }
    registry.queue().add(job);
    placer.request();
  }

  /** Leaves a job to the next check, unless the result would be of no use to its caller by then. */
  private void waitForHost(Job job, String reason) {
    if (!job.neverRan() && job.uselessAt(dependencies.timer().nanoTime())) {
      end(job, UNKNOWN_OUTCOME, reason);
    }
  }

  /** Ends a best-effort job: refuses it as not run only if nothing of it can have run. */
  private void end(Job job, JobAnswer answer, String reason) {
    if (answer instanceof JobAnswer.Refused refused && job.neverRan()) {
      finalizer.refuse(job, refused, reason);
    } else {
      LOG.write(
          LogEvent.JOB_OUTCOME_UNKNOWN,
          "job",
          job.id(),
          "age",
          Duration.ofNanos(dependencies.timer().nanoTime() - job.acceptedNanos()),
          "reason",
          reason);
      finalizer.abandon(job);
    }
  }

  private void transfer(Job job, int shard) {
    registry.queue().remove(job);
    job.site(new JobSite.Transferred(shard, job.site().transfers() + 1, job.upcomingRunNumber()));
    logTransfer(LogEvent.JOB_TRANSFERRED, job, OptionalInt.of(shard));
    finalizer.storeSite(job, () -> request(job));
  }

  private void request(Job job) {
    if (log.closed()
        || job.phase() != Job.Phase.ACTIVE
        || returning.contains(job)
        || !(job.site() instanceof JobSite.Transferred site)) {
      return;
    }
    Optional<JobHost> host = dependencies.neighbours().host(site.hostShard());
    if (host.isEmpty()) {
      retry(job, RETRY_DELAY);
      return;
    }
    HostRequest request =
        new HostRequest(
            job.submitted().withSite(new JobSite.Hosted(site.transfers(), site.firstRun())),
            job.progress(dependencies.wallMillis().getAsLong()),
            cancelled.contains(job));
    host.get().host(request, answer -> answered(job, answer));
  }

  private void retry(Job job, Duration delay) {
    dependencies.timer().after(delay, () -> request(job));
  }

  private void answered(Job job, JobAnswer answer) {
    if (log.closed() || job.phase() != Job.Phase.ACTIVE || returning.contains(job)) {
      return;
    }
    switch (answer) {
      case JobAnswer.State state when state.state().ended() -> {
        cancelled.remove(job);
        finalizer.end(job, state.state());
      }
      case JobAnswer.State state -> {
        if (state.state() == JobState.RUNNING) {
          job.markStarted();
        }
        retry(job, REQUEST_PAUSE);
      }
      case JobAnswer.HandedBack handedBack -> takeBack(job, handedBack.handback());
      default -> retry(job, RETRY_DELAY);
    }
  }

  private void takeBack(Job job, CarriedState handback) {
    returning.add(job);
    Job returned =
        new Job(
            job.submitted().withSite(new JobSite.Home(job.site().transfers(), handback.nextRun())),
            job.acceptedNanos(),
            log.token(),
            true,
            false);
    returned.restore(handback.progress(), dependencies.timer().nanoTime());
    finalizer.storeSite(returned, () -> replace(job, returned));
  }

  private void replace(Job job, Job returned) {
    returning.remove(job);
    if (job.phase() != Job.Phase.ACTIVE) {
      return;
    }
    job.phase(Job.Phase.ENDED);
    returned.waiters().addAll(job.waiters());
    returned.unacknowledgedResults().addAll(job.unacknowledgedResults());
    registry.add(returned);
    losses.watch(returned);
    if (cancelled.remove(job)) {
      finalizer.end(returned, JobState.CANCELLED);
    } else if (!runs.endIfDone(returned)) {
      registry.queue().add(returned);
      placer.request();
      check(returned);
    }
  }

  /** Logs a transfer to or towards a shard; empty if no shard is known that can run the job. */
  private static void logTransfer(LogEvent event, Job job, OptionalInt shard) {
    LOG.write(
        event,
        "job",
        job.id(),
        "shard",
        shard.isPresent() ? shard.getAsInt() : "none",
        "transfers",
        job.site().transfers(),
        "nextRun",
        job.upcomingRunNumber());
  }
}
