package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.EndedJob;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.error.ErrorKind;

/**
 * Runs durable jobs that other shards have accepted. They are stored in this shard, so its next
 * owner continues them, and their end is stored for the shard that accepted them.
 */
final class HostedJobs {

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

  /** Time for which a request waits for the end of its job. */
  private static final Duration HOLD = Duration.ofSeconds(1);

  private final OwnedShardFactory dependencies;
  private final ShardRows rows;
  private final DecisionLog log;
  private final JobRegistry registry;
  private final EndedJobs ended;
  private final JobFinalizer finalizer;
  private final LossTracker losses;
  private final RunTracker runs;
  private final Placer placer;

  HostedJobs(
      OwnedShardFactory dependencies,
      ShardRows rows,
      DecisionLog log,
      JobRegistry registry,
      EndedJobs ended,
      JobFinalizer finalizer,
      LossTracker losses,
      RunTracker runs,
      Placer placer) {
    this.dependencies = dependencies;
    this.rows = rows;
    this.log = log;
    this.registry = registry;
    this.ended = ended;
    this.finalizer = finalizer;
    this.losses = losses;
    this.runs = runs;
    this.placer = placer;
  }

  /** Handles a request as specified by {@link org.lovagerack.fleet.job.JobHost#host}. */
  void host(HostRequest request, Consumer<JobAnswer> callback) {
    if (answerKnown(request, callback)) {
      return;
    }
    RowKey endRow = rows.ended(Job.endKey(request.job()));
    dependencies
        .store()
        .readRow(
            endRow,
            READ_TIMEOUT,
            stored -> {
              stored.ifPresent(row -> ended.putDurable(endRow.key(), row));
              if (log.closed()) {
                callback.accept(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
              } else if (!answerKnown(request, callback)) {
                adopt(request, callback);
              }
            },
            outcome -> callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE)));
  }

  private boolean answerKnown(HostRequest request, Consumer<JobAnswer> callback) {
    Optional<Job> known = registry.find(request.job().id());
    Optional<EndedJob> end = ended.find(Job.endKey(request.job()));
    if (known.isPresent()) {
      answerActive(known.get(), request, callback);
    } else if (end.isPresent()) {
      callback.accept(end.get().answerToHome());
    }
    return known.isPresent() || end.isPresent();
  }

  private void answerActive(Job job, HostRequest request, Consumer<JobAnswer> callback) {
    if (!job.endKey().equals(Job.endKey(request.job())) || job.phase() == Job.Phase.STORING) {
      callback.accept(
          new JobAnswer.Refused(ErrorKind.NOT_READY, ShardController.RETRY_AFTER_OUTAGE));
      return;
    }
    Job.Waiter waiter = new Job.Waiter(Optional.empty(), callback);
    job.waiters().add(waiter);
    if (request.cancel() && job.phase() == Job.Phase.ACTIVE) {
      finalizer.end(job, JobState.CANCELLED);
      return;
    }
    dependencies
        .timer()
        .after(
            HOLD,
            () -> {
              if (job.waiters().remove(waiter)) {
                callback.accept(new JobAnswer.State(job.reportedState()));
              }
            });
  }

  private void adopt(HostRequest request, Consumer<JobAnswer> callback) {
    if (!log.leaseValid()) {
      callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
      return;
    }
    Job job =
        new Job(
            request.job().acceptedBy(log.token()),
            dependencies.timer().nanoTime(),
            log.token(),
            false,
            false);
    job.restore(request.progress(), dependencies.timer().nanoTime());
    registry.add(job);
    log.append(
        new CommitEntry(
            List.of(new RowCondition(rows.ended(job.endKey()), RowCondition.ABSENT)),
            List.of(
                new RowWrite(rows.job(job.id()), JobCodec.encode(job.submitted())),
                new RowWrite(rows.progress(job.id()), JobCodec.encode(request.progress()))),
            List.of(),
            true,
            new StoredListener(job, request, callback)));
  }

  private final class StoredListener implements CommitEntry.Listener {
    private final Job job;
    private final HostRequest request;
    private final Consumer<JobAnswer> callback;

    StoredListener(Job job, HostRequest request, Consumer<JobAnswer> callback) {
      this.job = job;
      this.request = request;
      this.callback = callback;
    }

    @Override
    public void committed() {
      job.phase(Job.Phase.ACTIVE);
      losses.watch(job);
      if (!request.cancel() && !runs.endIfDone(job)) {
        registry.queue().add(job);
        placer.request();
      }
      answerActive(job, request, callback);
    }

    @Override
    public void conflicted(StoredRow row) {
      registry.remove(job);
      ended.putDurable(job.endKey(), row);
      callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
    }

    @Override
    public void dropped(String reason) {
      registry.remove(job);
      callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
    }
  }
}
