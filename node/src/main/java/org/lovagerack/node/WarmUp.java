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
 * Exercises the code of an owner before the VM becomes one. Answers the load of a takeover: the JDK
 * compiles a method when it was called a few hundred times, and until then each task costs an owner
 * several times the processor, for more than a second of full load. The jobs run on workers within
 * this process, after another VM owns every shard, so that a fleet that starts as a whole does not
 * wait for it; they end when this VM becomes an owner, because then real ones do the same.
 */
final class WarmUp {

  private static final EventLog LOG = new EventLog(WarmUp.class);

  private static final String HOST = "127.0.0.1";

  /** Each has a path of calls of its own, as in a fleet. */
  private static final int WORKERS = 4;

  /** With {@link #TASKS_A_JOB}, more starts than the calls after which a method is compiled. */
  private static final int JOBS = 80;

  private static final int TASKS_A_JOB = 4;

  /** Leaves the processor to clients between two jobs. */
  private static final Duration PAUSE = Duration.ofMillis(10);

  /** Period of the check whether there are owners yet. */
  private static final Duration CHECK = Duration.ofMillis(100);

  /**
   * Checks in a row that find an owner for every shard, together two seconds: after a loss of
   * power, the store names owners that are gone, and then the processor is needed for the jobs that
   * have waited.
   */
  private static final int CHECKS_IN_A_ROW = 20;

  /** Not a shard's; it shows in the log only. */
  private static final ShardRows ROWS = new ShardRows("warm-up");

  /** A job that does not end ends the exercise. */
  private static final Duration PATIENCE = Duration.ofSeconds(2);

  private static final Queue QUEUE =
      new Queue("warm-up", "", "", "warm-up", 0, 1, 1, Duration.ofSeconds(1));

  private static final Resources CAPACITY = new Resources(16_000, 65_536, 0);
  private static final Resources REQUEST = new Resources(4_000, 64, 0);

  private final Vertx vertx;
  private final TimerService timer;
  private final OwnedShardFactory parts;
  private final PeerCalls peers;
  private final JobRouter router;
  private final EntryVm self;
  private final long startedMillis;
  private final IntConsumer tasksEnded;
  private HttpServer server;
  private Island island;
  private long startedNanos;
  private int checksPassed;
  private int ended;

  /**
   * Creates an exercise that does nothing until {@link #start}.
   *
   * @param parts what an owner needs; its counters are those of the exercise
   * @param startedMillis start time of the process, Unix milliseconds
   * @param tasksEnded receives the number of tasks when the exercise ends
   */
  WarmUp(
      Vertx vertx,
      TimerService timer,
      OwnedShardFactory parts,
      PeerCalls peers,
      JobRouter router,
      EntryVm self,
      long startedMillis,
      IntConsumer tasksEnded) {
    this.vertx = vertx;
    this.timer = timer;
    this.parts = parts;
    this.peers = peers;
    this.router = router;
    this.self = self;
    this.startedMillis = startedMillis;
    this.tasksEnded = tasksEnded;
  }

  /** Begins when every shard has had an owner for some time. */
  void start() {
    if (router.ownedShards() > 0) {
      return;
    }
    checksPassed = router.ready() ? checksPassed + 1 : 0;
    if (checksPassed < CHECKS_IN_A_ROW) {
      timer.after(CHECK, this::start);
      return;
    }
    vertx
        .createHttpServer()
        .requestHandler(new LocalWorker(vertx, startedMillis)::handle)
        .listen(0, HOST)
        .onFailure(cause -> LOG.write(LogEvent.WARM_UP_ENDED, cause, "tasks", 0))
        .onSuccess(this::begin);
  }

  private void begin(HttpServer listening) {
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
              startedMillis));
    }
    island = new Island(parts, ROWS, 1, directory);
    island.start();
    next();
  }

  private void next() {
    if (ended == JOBS || router.ownedShards() > 0) {
      end();
      return;
    }
    int job = ended;
    Submission submission = submission(job);
    // Refused by this VM, which is not the owner of the shard; that much is like a real call.
    peers
        .jobsAt(self.address(), self.id().incarnation())
        .submit(submission, refusal -> island.jobs().submit(submission, answer -> ended(job)));
    timer.after(PATIENCE, () -> endIfStuck(job));
  }

  private void ended(int job) {
    if (island != null && job == ended) {
      ended++;
      timer.after(PAUSE, this::next);
    }
  }

  private void endIfStuck(int job) {
    if (island != null && job == ended) {
      end();
    }
  }

  private void end() {
    if (island == null) {
      return;
    }
    island.close();
    island = null;
    tasksEnded.accept(ended * TASKS_A_JOB);
    server
        .close()
        .onComplete(
            closed ->
                LOG.write(
                    LogEvent.WARM_UP_ENDED,
                    "tasks",
                    ended * TASKS_A_JOB,
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
                new StepSpec(TASKS_A_JOB, REQUEST, Duration.ofMillis(50), List.of(), "", "", 0)),
            true),
        PATIENCE,
        self.id(),
        false);
  }
}
