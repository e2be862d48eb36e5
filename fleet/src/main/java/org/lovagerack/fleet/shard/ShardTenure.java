package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.job.EndedJob;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobSpec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.store.ReadOutcome;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.worker.RunEnd;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * What the owner of a shard does while it owns it: it stores jobs, places their tasks on workers,
 * and stores their ends. It first reads the jobs of earlier owners. Their tasks start only when
 * every worker has reported under the new token, or any lease that an earlier owner extended is
 * over; until then a run that is still at work could not be told from one that is not.
 */
final class ShardTenure implements JobService, WorkerLink.Listener {

  /** Time after which ends of an unfinished job are stored so that workers may forget them. */
  private static final Duration PROGRESS_DELAY = Duration.ofSeconds(1);

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration READ_RETRY = Duration.ofMillis(100);
  private static final Duration FORGET_PERIOD = Duration.ofSeconds(5);

  /** Ended jobs that one commit entry removes. */
  private static final int REMOVALS_PER_ENTRY = 40;

  /** What a caller is told while the store or the workers are away; outages last seconds. */
  private static final Duration RETRY_AFTER_OUTAGE = Duration.ofSeconds(1);

  private static final EventLog LOG = new EventLog(ShardTenure.class);

  private final TimerService timer;
  private final LongSupplier wallMillis;
  private final RowStore store;
  private final ShardRows rows;
  private final ShardLog log;
  private final long token;
  private final WorkerCalls calls;
  private final WorkerDirectory directory;
  private final ConfigurationHolder configuration;
  private final FleetBounds bounds;
  private final TenureCounters counters;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final TaskQueue queue = new TaskQueue();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<WorkerId, WorkerLink> links = new TreeMap<>(WORKER_ORDER);
  private final EndedJobs ended;
  private final Consumer<WorkerId> directoryListener = this::directoryChanged;
  private boolean recovered;
  private boolean gateOpen;
  private boolean closed;
  private boolean placementRequested;

  private static final java.util.Comparator<WorkerId> WORKER_ORDER =
      java.util.Comparator.comparing(WorkerId::value);

  ShardTenure(
      TimerService timer,
      LongSupplier wallMillis,
      RowStore store,
      ShardRows rows,
      ShardLog log,
      long token,
      WorkerCalls calls,
      WorkerDirectory directory,
      ConfigurationHolder configuration,
      FleetBounds bounds,
      TenureCounters counters) {
    this.timer = timer;
    this.wallMillis = wallMillis;
    this.store = store;
    this.rows = rows;
    this.log = log;
    this.token = token;
    this.calls = calls;
    this.directory = directory;
    this.configuration = configuration;
    this.bounds = bounds;
    this.counters = counters;
    this.ended = new EndedJobs(bounds.statusRetention());
  }

  /** Reads what earlier owners have stored, and opens the links to the workers. */
  void start() {
    directory.addListener(directoryListener);
    directory.entries().forEach(this::open);
    timer.after(
        ShardLog.LEASE.plus(bounds.workerLeaseSurelyOver()),
        () -> openGate("earlier leases are over"));
    readJobs("", new ArrayList<>());
    timer.after(FORGET_PERIOD, this::forgetEnded);
  }

  /** Ends all activity; nothing is stored or ordered any more. */
  void close() {
    closed = true;
    directory.removeListener(directoryListener);
    links.values().forEach(WorkerLink::close);
    log.close();
  }

  boolean ready() {
    return recovered && !closed;
  }

  /** Returns whether no job is being stored and no task is at work. */
  boolean quiet() {
    return links.values().stream().allMatch(WorkerLink::idle)
        && jobs.values().stream().noneMatch(job -> job.phase() == Job.Phase.STORING);
  }

  // Recovery

  private void readJobs(String from, List<StoredRow> found) {
    readAll(rows.jobTable(), from, found, () -> readProgress(found));
  }

  private void readProgress(List<StoredRow> jobRows) {
    List<StoredRow> found = new ArrayList<>();
    readAll(rows.progressTable(), "", found, () -> recover(jobRows, found));
  }

  private void readAll(String table, String from, List<StoredRow> found, Runnable next) {
    if (closed) {
      return;
    }
    store.read(
        table,
        rows.partition(),
        from,
        RowStore.PAGE,
        READ_TIMEOUT,
        outcome -> {
          if (closed) {
            return;
          }
          if (outcome instanceof ReadOutcome.Rows page) {
            found.addAll(page.rows());
            if (page.more()) {
              readAll(table, page.rows().getLast().key().key() + '\0', found, next);
            } else {
              next.run();
            }
          } else {
            LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "table", table, "outcome", outcome);
            timer.after(READ_RETRY, () -> readAll(table, from, found, next));
          }
        });
  }

  private void recover(List<StoredRow> jobRows, List<StoredRow> progressRows) {
    for (StoredRow row : jobRows) {
      try {
        SubmittedJob submitted = JobCodec.decodeJob(row.value());
        if (!jobs.containsKey(submitted.id())) {
          jobs.put(submitted.id(), new Job(submitted, timer.nanoTime(), token, true));
        }
      } catch (MalformedRecordException e) {
        LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
      }
    }
    for (StoredRow row : progressRows) {
      Job job = jobs.get(row.key().key());
      if (job != null && job.recovered()) {
        restore(job, row);
      }
    }
    recovered = true;
    LOG.write(
        LogEvent.SHARD_RECOVERED,
        "partition",
        rows.partition(),
        "token",
        token,
        "jobs",
        jobRows.size());
    links.values().forEach(WorkerLink::open);
    openGateIfAllJoined();
  }

  private static void restore(Job job, StoredRow row) {
    try {
      JobProgress progress = JobCodec.decodeProgress(row.value());
      job.restore(progress);
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
    }
  }

  private void openGateIfAllJoined() {
    if (recovered && !gateOpen && links.values().stream().allMatch(WorkerLink::joined)) {
      openGate("all workers have reported");
    }
  }

  private void openGate(String reason) {
    if (gateOpen || closed) {
      return;
    }
    if (!recovered) {
      // The jobs are read without a bound on time; their tasks wait for that, too.
      timer.after(READ_RETRY, () -> openGate(reason));
      return;
    }
    gateOpen = true;
    List<Job> waiting =
        jobs.values().stream()
            .filter(job -> !queue.contains(job) && job.phase() == Job.Phase.ACTIVE)
            .toList();
    LOG.write(
        LogEvent.SHARD_RESUMED,
        "partition",
        rows.partition(),
        "token",
        token,
        "jobs",
        waiting.size(),
        "reason",
        reason);
    for (Job job : waiting) {
      queue.add(job);
      finishIfDone(job);
    }
    requestPlacement();
  }

  // Calls of clients

  @Override
  public void submit(
      String jobId, Queue jobQueue, JobSpec spec, Duration patience, Consumer<JobAnswer> callback) {
    Job known = jobs.get(jobId);
    if (known != null) {
      if (known.phase() == Job.Phase.STORING || spec.bestEffort()) {
        known.waiting().add(callback);
      } else {
        callback.accept(new JobAnswer.Accepted());
      }
      return;
    }
    Optional<JobState> end = ended.state(jobId);
    if (end.isPresent()) {
      callback.accept(
          spec.bestEffort() ? new JobAnswer.State(end.get()) : new JobAnswer.Accepted());
      return;
    }
    Optional<JobAnswer.Refused> refusal = refusal(spec, jobQueue);
    if (refusal.isPresent()) {
      counters.refused(refusal.get().kind());
      LOG.write(
          LogEvent.JOB_REFUSED,
          "job",
          jobId,
          "queue",
          jobQueue.name(),
          "kind",
          refusal.get().kind(),
          "retryAfter",
          refusal.get().retryAfter(),
          "waitingWork",
          queue.waitingWork(),
          "capacity",
          capacity(jobQueue.service()));
      callback.accept(refusal.get());
      return;
    }
    Job job =
        new Job(new SubmittedJob(jobId, jobQueue, token, spec), timer.nanoTime(), token, false);
    job.waiting().add(callback);
    jobs.put(jobId, job);
    if (spec.bestEffort()) {
      accept(job);
      return;
    }
    log.append(
        new CommitEntry(
            List.of(new RowCondition(rows.ended(jobId), RowCondition.ABSENT)),
            List.of(new RowWrite(rows.job(jobId), JobCodec.encode(job.submitted()))),
            List.of(),
            true,
            new SubmissionListener(job)));
  }

  private void accept(Job job) {
    job.phase(Job.Phase.ACTIVE);
    counters.accepted();
    LOG.write(
        LogEvent.JOB_ACCEPTED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "token",
        token,
        "after",
        Duration.ofNanos(timer.nanoTime() - job.acceptedNanos()));
    if (gateOpen || !job.submitted().spec().bestEffort()) {
      queue.add(job);
      requestPlacement();
    }
  }

  private Optional<JobAnswer.Refused> refusal(JobSpec spec, Queue jobQueue) {
    boolean canStore = spec.bestEffort() || log.storeAvailable();
    if (!recovered || !canStore || !log.leaseValid()) {
      return Optional.of(new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_AFTER_OUTAGE));
    }
    Job probe =
        new Job(new SubmittedJob("", jobQueue, token, spec), timer.nanoTime(), token, false);
    double ownWork = probe.tasks().stream().mapToDouble(TaskQueue::work).sum();
    double capacity = capacity(jobQueue.service());
    double spread = capacity <= 0 ? 0 : ownWork / capacity;
    Duration ownDuration =
        Duration.ofNanos((long) Math.max((double) probe.estimatedChain().toNanos(), spread * 1e9));
    return Admission.decide(queue.waitingWork(), capacity, ownDuration, probe.objective())
        .map(
            retryAfter ->
                new JobAnswer.Refused(
                    capacity <= 0 ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED, retryAfter));
  }

  /** Returns the cores of the workers that take tasks of a service, weighted by their speeds. */
  private double capacity(String service) {
    double cores = 0;
    for (WorkerLink link : links.values()) {
      if (link.entry().service().equals(service)
          && link.joined()
          && link.listed()
          && !link.entry().draining()) {
        cores += link.entry().capacity().cpuMillicores() / 1000.0 * speeds.speed(link.id());
      }
    }
    return cores;
  }

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {
    Job job = jobs.get(jobId);
    if (job != null && job.phase() != Job.Phase.STORING) {
      callback.accept(new JobAnswer.State(job.shownState()));
    } else if (ended.state(jobId).isPresent()) {
      callback.accept(new JobAnswer.State(ended.state(jobId).get()));
    } else if (job != null || !recovered) {
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
    } else {
      readEnded(jobId, callback);
    }
  }

  private void readEnded(String jobId, Consumer<JobAnswer> callback) {
    RowKey key = rows.ended(jobId);
    store.read(
        key.table(),
        key.partition(),
        jobId,
        1,
        READ_TIMEOUT,
        outcome -> {
          if (!(outcome instanceof ReadOutcome.Rows page) || closed) {
            callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
            return;
          }
          for (StoredRow row : page.rows()) {
            if (row.key().equals(key)) {
              remember(jobId, row);
            }
          }
          callback.accept(
              ended
                  .state(jobId)
                  .<JobAnswer>map(JobAnswer.State::new)
                  .orElse(new JobAnswer.UnknownJob()));
        });
  }

  private void remember(String jobId, StoredRow row) {
    try {
      ended.putStored(jobId, JobCodec.decodeEnded(row.value()));
    } catch (MalformedRecordException e) {
      LOG.write(LogEvent.ROW_UNREADABLE, e, "row", row.key());
    }
  }

  @Override
  public void cancel(String jobId, Consumer<JobAnswer> callback) {
    Job job = jobs.get(jobId);
    if (job == null) {
      state(
          jobId,
          answer ->
              callback.accept(
                  answer instanceof JobAnswer.State ? new JobAnswer.Cancelled() : answer));
      return;
    }
    switch (job.phase()) {
      case STORING ->
          callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
      case ACTIVE -> {
        job.waiting().add(callback);
        end(job, JobState.CANCELLED);
      }
      case ENDING -> job.waiting().add(callback);
      case ENDED -> callback.accept(new JobAnswer.Cancelled());
    }
  }

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {
    if (!recovered) {
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
      return;
    }
    long count =
        jobs.values().stream()
            .filter(
                job ->
                    job.phase() == Job.Phase.ACTIVE
                        && !job.started()
                        && job.queue().name().equals(queueName))
            .count();
    callback.accept(new JobAnswer.Pending(count));
  }

  private static void answer(Job job, JobAnswer answer) {
    List<Consumer<JobAnswer>> callers = List.copyOf(job.waiting());
    job.waiting().clear();
    callers.forEach(caller -> caller.accept(answer));
  }

  // Placement

  private void requestPlacement() {
    if (placementRequested || closed) {
      return;
    }
    placementRequested = true;
    timer.after(
        Duration.ZERO,
        () -> {
          placementRequested = false;
          if (!closed && log.leaseValid()) {
            place();
          }
        });
  }

  private void place() {
    for (Job job : queue.inOrder(timer.nanoTime())) {
      String service =
          configuration
              .inForce()
              .flatMap(current -> current.queue(job.queue().name()))
              .map(Queue::service)
              .orElse(job.queue().service());
      boolean placedAll = true;
      for (Task task : job.tasks()) {
        if (task.phase() == Task.Phase.WAITING) {
          placedAll &= job.ready(task) && placeTask(task, service);
        }
      }
      if (placedAll) {
        queue.remove(job);
      }
    }
  }

  private boolean placeTask(Task task, String service) {
    List<WorkerLink> eligible = new ArrayList<>();
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerLink link : links.values()) {
      if (link.acceptsTasks()
          && link.entry().service().equals(service)
          && task.step().request().fitsIn(link.room())) {
        eligible.add(link);
        candidates.add(
            new Candidate(
                link.room(),
                link.entry().labels(),
                speeds.speed(link.id()),
                speeds.distrusted(link.id()),
                task.failedOn().contains(link.id()),
                task.step().maxPerWorker() == 0
                    ? 0
                    : link.runsOfStep(task.job().id(), task.id().step())));
      }
    }
    int chosen = Placement.choose(task.step(), candidates);
    if (chosen == Placement.NONE) {
      return false;
    }
    WorkerLink link = eligible.get(chosen);
    TaskRun run = new TaskRun(task.id(), task.job().takeRunNumber());
    task.assign(run, link);
    link.start(run, task.job().submitted().spec().specification(), task.step().request());
    return true;
  }

  // Runs

  @Override
  public void joined(WorkerLink link) {
    LOG.write(LogEvent.WORKER_JOINED, "worker", link.id(), "token", token, "entry", link.entry());
    openGateIfAllJoined();
  }

  @Override
  public Resources found(WorkerLink link, TaskRun run) {
    Job job = jobs.get(run.task().jobId());
    Task task = job == null ? null : job.task(run.task());
    if (task != null) {
      job.skipRunNumber(run.run());
    }
    boolean adopt =
        task != null
            && job.phase() == Job.Phase.ACTIVE
            && job.recovered()
            && task.phase() == Task.Phase.WAITING
            && !gateOpen;
    LOG.write(
        LogEvent.RUN_FOUND, "task", run, "worker", link.id(), "token", token, "adopted", adopt);
    if (!adopt) {
      return null;
    }
    task.assign(run, link);
    job.markStarted();
    return task.step().request();
  }

  @Override
  public void started(WorkerLink link, TaskRun run) {
    Job job = jobs.get(run.task().jobId());
    if (job == null) {
      return;
    }
    if (!job.started()) {
      counters.startDelay(Duration.ofNanos(timer.nanoTime() - job.acceptedNanos()));
    }
    job.markStarted();
    counters.taskStarted();
    LOG.write(LogEvent.TASK_STARTED, "task", run, "worker", link.id(), "token", token);
  }

  @Override
  public void ended(WorkerLink link, RunEnd end, EndReceipt receipt, Duration ranFor) {
    Job job = jobs.get(end.run().task().jobId());
    Task task = job == null ? null : job.task(end.run().task());
    LOG.write(
        LogEvent.TASK_ENDED,
        "task",
        end.run(),
        "worker",
        link.id(),
        "kind",
        end.kind(),
        "ranFor",
        ranFor);
    if (task == null || job.phase() == Job.Phase.ENDED) {
      receipt.settle();
      return;
    }
    job.skipRunNumber(end.run().run());
    // An earlier owner's run may have ended before this one knew of it.
    boolean foundEnded = !gateOpen && job.recovered() && task.phase() == Task.Phase.WAITING;
    if (job.submitted().spec().bestEffort()) {
      receipt.settle();
    } else {
      job.unsettledEnds().add(receipt);
      timer.after(PROGRESS_DELAY, () -> storeProgress(job));
    }
    if (!task.isCurrent(end.run()) && !foundEnded) {
      return;
    }
    job.markStarted();
    switch (end.kind()) {
      case DONE -> {
        speeds.succeeded(link.id(), task.step().estimatedDuration(), ranFor);
        job.taskDone(task);
      }
      case FAILED -> {
        speeds.failed(link.id());
        task.failedOn().add(link.id());
        task.failedRuns().add(end.run().run());
        task.waitAgain();
      }
      case STOPPED, LAPSED, ABANDONED -> task.waitAgain();
    }
    afterEnd(job, task);
  }

  private void afterEnd(Job job, Task task) {
    if (job.phase() != Job.Phase.ACTIVE) {
      return;
    }
    if (task.failedRuns().size() >= job.queue().attempts()) {
      end(job, JobState.FAILED);
      return;
    }
    if (!gateOpen && job.recovered()) {
      return;
    }
    if (!finishIfDone(job)) {
      queue.add(job);
      requestPlacement();
    }
  }

  private boolean finishIfDone(Job job) {
    if (job.phase() == Job.Phase.ACTIVE && job.allDone()) {
      end(job, JobState.COMPLETED);
      return true;
    }
    return false;
  }

  @Override
  public void lost(WorkerLink link, TaskRun run, String reason) {
    LOG.write(LogEvent.RUN_LOST, "task", run, "worker", link.id(), "reason", reason);
    Job job = jobs.get(run.task().jobId());
    Task task = job == null ? null : job.task(run.task());
    if (task == null || !task.isCurrent(run)) {
      return;
    }
    task.waitAgain();
    if (job.phase() == Job.Phase.ACTIVE) {
      queue.add(job);
      requestPlacement();
    }
  }

  @Override
  public void fenced(WorkerLink link) {
    log.verify();
  }

  @Override
  public void roomGained(WorkerLink link) {
    requestPlacement();
  }

  @Override
  public boolean mayAct() {
    return log.leaseValid();
  }

  // Ends of jobs

  private void end(Job job, JobState state) {
    job.phase(Job.Phase.ENDING);
    job.finalState(state);
    queue.remove(job);
    EndedJob record = new EndedJob(state, wallMillis.getAsLong());
    if (job.submitted().spec().bestEffort()) {
      ended(job, record);
      return;
    }
    List<RowKey> removals = new ArrayList<>();
    removals.add(rows.job(job.id()));
    if (job.progressStored()) {
      removals.add(rows.progress(job.id()));
    }
    log.append(
        new CommitEntry(
            List.of(),
            List.of(new RowWrite(rows.ended(job.id()), JobCodec.encode(record))),
            removals,
            false,
            new EndListener(job, record)));
  }

  private void ended(Job job, EndedJob record) {
    job.phase(Job.Phase.ENDED);
    Duration took = Duration.ofNanos(timer.nanoTime() - job.acceptedNanos());
    counters.ended(record.state(), took);
    LOG.write(
        LogEvent.JOB_ENDED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "state",
        record.state(),
        "took",
        took,
        "objective",
        job.objective());
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.ASSIGNED) {
        task.worker().stop(task.run());
      }
    }
    job.unsettledEnds().forEach(EndReceipt::settle);
    jobs.remove(job.id());
    if (job.submitted().spec().bestEffort()) {
      ended.putUnstored(job.id(), record);
      answer(job, new JobAnswer.State(record.state()));
    } else {
      ended.putStored(job.id(), record);
      answer(job, new JobAnswer.Cancelled());
    }
  }

  private void storeProgress(Job job) {
    if (closed || job.phase() != Job.Phase.ACTIVE || job.unsettledEnds().isEmpty()) {
      return;
    }
    List<EndReceipt> covered = List.copyOf(job.unsettledEnds());
    job.unsettledEnds().clear();
    job.markProgressStored();
    log.append(
        new CommitEntry(
            List.of(),
            List.of(new RowWrite(rows.progress(job.id()), JobCodec.encode(job.progress()))),
            List.of(),
            false,
            new CommitEntry.Listener() {
              @Override
              public void committed() {
                covered.forEach(EndReceipt::settle);
              }

              @Override
              public void conflicted(StoredRow row) {
                throw new IllegalStateException("progress has no condition: " + row);
              }

              @Override
              public void dropped(String reason) {
                LOG.write(LogEvent.RECORD_DROPPED, "job", job.id(), "reason", reason);
              }
            }));
  }

  private void forgetEnded() {
    if (closed) {
      return;
    }
    ended.forgetUnstored(wallMillis.getAsLong());
    List<String> expired = ended.takeExpired(wallMillis.getAsLong(), REMOVALS_PER_ENTRY);
    if (!expired.isEmpty()) {
      log.append(
          new CommitEntry(
              List.of(),
              List.of(),
              expired.stream().map(rows::ended).toList(),
              false,
              new RemovalListener(expired.size())));
    }
    timer.after(FORGET_PERIOD, this::forgetEnded);
  }

  // Workers

  private void directoryChanged(WorkerId id) {
    Optional<WorkerEntry> entry = directory.find(id);
    WorkerLink link = links.get(id);
    if (entry.isPresent() && link == null) {
      open(entry.get());
    } else if (entry.isPresent()) {
      link.update(entry.get());
    } else if (link != null) {
      link.unlisted();
      if (link.idle()) {
        link.close();
        links.remove(id);
        speeds.forget(id);
        openGateIfAllJoined();
      }
    }
    requestPlacement();
  }

  private void open(WorkerEntry entry) {
    WorkerLink link = new WorkerLink(timer, calls, bounds, token, entry, this);
    links.put(entry.id(), link);
    if (recovered) {
      link.open();
    }
  }

  private final class SubmissionListener implements CommitEntry.Listener {
    private final Job job;

    SubmissionListener(Job job) {
      this.job = job;
    }

    @Override
    public void committed() {
      accept(job);
      answer(job, new JobAnswer.Accepted());
    }

    @Override
    public void conflicted(StoredRow row) {
      jobs.remove(job.id());
      remember(job.id(), row);
      answer(job, new JobAnswer.Accepted());
    }

    @Override
    public void dropped(String reason) {
      jobs.remove(job.id());
      counters.refused(ErrorKind.PLATFORM_UNAVAILABLE);
      LOG.write(
          LogEvent.JOB_REFUSED,
          "job",
          job.id(),
          "queue",
          job.queue().name(),
          "kind",
          ErrorKind.PLATFORM_UNAVAILABLE,
          "reason",
          reason);
      answer(job, new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_AFTER_OUTAGE));
    }
  }

  private final class EndListener implements CommitEntry.Listener {
    private final Job job;
    private final EndedJob record;

    EndListener(Job job, EndedJob record) {
      this.job = job;
      this.record = record;
    }

    @Override
    public void committed() {
      ended(job, record);
    }

    @Override
    public void conflicted(StoredRow row) {
      throw new IllegalStateException("the end of a job has no condition: " + row);
    }

    @Override
    public void dropped(String reason) {
      LOG.write(LogEvent.RECORD_DROPPED, "job", job.id(), "reason", reason);
      answer(job, new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    }
  }

  private record RemovalListener(int rowCount) implements CommitEntry.Listener {

    @Override
    public void committed() {}

    @Override
    public void conflicted(StoredRow row) {
      throw new IllegalStateException("a removal has no condition: " + row);
    }

    @Override
    public void dropped(String reason) {
      LOG.write(LogEvent.RECORD_DROPPED, "rows", rowCount, "reason", reason);
    }
  }
}
