package org.lovagerack.node;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.entry.JobRouter;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobSpec;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.Island;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.wire.LocalWorker;

/**
 * Warms up the code of a shard owner before a takeover. The JDK compiles a method after a few
 * hundred calls; until then, each task costs an owner several times as much processor time, which
 * lasts for more than a second of full load. The warm-up jobs run on simulated workers in this
 * process. They start when every shard has an owner, to avoid delaying the start of a whole fleet,
 * and end when this VM becomes an owner itself, because then real jobs have the same effect.
 */
final class WarmUp {

  private static final EventLog LOG = new EventLog(WarmUp.class);

  private static final String HOST = "127.0.0.1";

  /** More than one, because an owner keeps separate state and calls for each worker. */
  private static final int WORKERS = 4;

  /** Times {@link #TASKS_PER_JOB}, more starts than the calls that trigger compilation. */
  private static final int JOBS = 80;

  private static final int TASKS_PER_JOB = 4;

  /** Pause between two jobs that leaves processor time for client requests. */
  private static final Duration JOB_PAUSE = Duration.ofMillis(10);

  /** Period of the check whether every shard has an owner. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  /**
   * Consecutive checks that must find an owner for every shard, two seconds in total: after a power
   * loss, the store lists owners that no longer run, and the processor is needed for the backlog of
   * jobs.
   */
  private static final int CONSECUTIVE_CHECKS = 20;

  /** Rows of no real shard; the name appears only in the log. */
  private static final ShardRows SHARD_ROWS = new ShardRows("warm-up");

  /** The warm-up ends if a job takes longer. */
  private static final Duration JOB_TIMEOUT = Duration.ofSeconds(2);

  private static final Queue QUEUE =
      new Queue("warm-up", "", "", "warm-up", 0, 1, 1, Duration.ofSeconds(1));

  private static final Resources CAPACITY = new Resources(16_000, 65_536, 0);
  private static final Resources REQUEST = new Resources(4_000, 64, 0);

  private final Vertx vertx;
  private final TimerService timer;
  private final OwnedShardFactory shardFactory;
  private final PeerCalls peers;
  private final JobRouter router;
  private final EntryVm self;
  private final long startedMillis;
  private final IntConsumer onFinished;
  private HttpServer server;
  private Island island;
  private long startedNanos;
  private int checksPassed;
  private int endedJobs;

  /**
   * Creates a warm-up that does nothing until {@link #start}.
   *
   * @param shardFactory creates the dependencies of the owner; must not use the counters of real
   *     jobs, nor the evacuations
   * @param startedMillis start time of the process, in Unix milliseconds
   * @param onFinished receives the number of completed tasks when the warm-up ends
   */
  WarmUp(
      Vertx vertx,
      TimerService timer,
      OwnedShardFactory shardFactory,
      PeerCalls peers,
      JobRouter router,
      EntryVm self,
      long startedMillis,
      IntConsumer onFinished) {
    this.vertx = vertx;
    this.timer = timer;
    this.shardFactory = shardFactory;
    this.peers = peers;
    this.router = router;
    this.self = self;
    this.startedMillis = startedMillis;
    this.onFinished = onFinished;
  }

  /** Starts the jobs after the required consecutive checks have succeeded. */
  void start() {
    if (router.ownedShards() > 0) {
      return;
    }
    checksPassed = router.ready() ? checksPassed + 1 : 0;
    if (checksPassed < CONSECUTIVE_CHECKS) {
      timer.after(CHECK_PERIOD, this::start);
      return;
    }
    vertx
        .createHttpServer()
        .requestHandler(new LocalWorker(vertx, startedMillis)::handle)
        .listen(0, HOST)
        .onFailure(cause -> LOG.write(LogEvent.WARM_UP_ENDED, cause, "tasks", 0))
        .onSuccess(this::startJobs);
  }

  private void startJobs(HttpServer listening) {
    server = listening;
    startedNanos = timer.nanoTime();
    WorkerDirectory directory = new WorkerDirectory();
    for (int worker = 0; worker < WORKERS; worker++) {
      directory.put(
          new WorkerEntry(
              new WorkerId("warm-up-" + worker),
              QUEUE.service(),
              HOST + ":" + listening.actualPort(),
              self.failureDomain(),
              false,
              CAPACITY,
              Set.of(),
              startedMillis,
              Duration.ZERO));
    }
    island = new Island(shardFactory, SHARD_ROWS, 1, directory);
    island.start();
    submitNextJob();
  }

  private void submitNextJob() {
    if (endedJobs == JOBS || router.ownedShards() > 0) {
      finish();
      return;
    }
    int job = endedJobs;
    Submission submission = submission(job);
    // This VM refuses the call, because it does not own the shard; this warms up the peer calls.
    peers
        .jobsAt(self.address(), self.id().incarnation())
        .submit(submission, refusal -> island.jobs().submit(submission, answer -> jobEnded(job)));
    timer.after(JOB_TIMEOUT, () -> finishIfStuck(job));
  }

  private void jobEnded(int job) {
    if (island != null && job == endedJobs) {
      endedJobs++;
      timer.after(JOB_PAUSE, this::submitNextJob);
    }
  }

  private void finishIfStuck(int job) {
    if (island != null && job == endedJobs) {
      finish();
    }
  }

  private void finish() {
    if (island == null) {
      return;
    }
    island.close();
    island = null;
    onFinished.accept(endedJobs * TASKS_PER_JOB);
    server
        .close()
        .onComplete(
            closed ->
                LOG.write(
                    LogEvent.WARM_UP_ENDED,
                    "tasks",
                    endedJobs * TASKS_PER_JOB,
                    "after",
                    Duration.ofNanos(timer.nanoTime() - startedNanos),
                    "ownedShards",
                    router.ownedShards()));
  }

  private Submission submission(int job) {
    return new Submission(
        "warm-up-" + job,
        QUEUE,
        new JobSpec(
            "",
            List.of(
                new StepSpec(TASKS_PER_JOB, REQUEST, Duration.ofMillis(50), List.of(), "", "", 0)),
            true),
        JOB_TIMEOUT,
        self.id(),
        false);
  }
}
