package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Redirects new best-effort jobs to other shards and remembers where to, so that a job that is
 * submitted again, asked for or cancelled is directed to the same shard.
 */
final class Redirections {

  /** Longer than any best-effort job is useful and than duplicates arrive late. */
  private static final Duration RETENTION = Duration.ofSeconds(15);

  private static final EventLog LOG = new EventLog(Redirections.class);

  private record Redirection(int shard, long atNanos) {}

  private final TimerService timer;
  private final Neighbours neighbours;
  private final LoadMeter meter;
  private final Placer placer;
  private final JobCounters counters;

  /** In the order of their time. */
  private final Map<String, Redirection> redirections = new LinkedHashMap<>();

  Redirections(
      TimerService timer,
      Neighbours neighbours,
      LoadMeter meter,
      Placer placer,
      JobCounters counters) {
    this.timer = timer;
    this.neighbours = neighbours;
    this.meter = meter;
    this.placer = placer;
    this.counters = counters;
  }

  /** Returns the answer to a call about a job that was redirected; empty if it was not. */
  Optional<JobAnswer> find(String jobId) {
    removeExpired();
    return Optional.ofNullable(redirections.get(jobId))
        .map(redirection -> new JobAnswer.Redirected(redirection.shard()));
  }

  /** Forgets a job that has returned because the other shard did not receive it. */
  void returned(String jobId) {
    redirections.remove(jobId);
  }

  /**
   * Redirects a new job if another shard can start it and this one cannot.
   *
   * @return the answer to the submission; empty if the job stays
   */
  Optional<JobAnswer> redirect(Submission submission, Job job) {
    if (!submission.redirectable() || !job.bestEffort() || !job.neverRan()) {
      return Optional.empty();
    }
    String service = placer.service(job);
    job.remainingSteps().forEach(step -> meter.observe(service, step));
    if (job.remainingSteps().anyMatch(step -> !step.requiredLabel().isEmpty())) {
      // The loads do not tell which workers have the label.
      return Optional.empty();
    }
    int tasks = (int) job.readyTasks().count();
    OptionalInt shard =
        OverflowPolicy.choose(
            tasks, meter.measure(0, service), neighbours.loads(service), job.id().hashCode());
    if (shard.isEmpty()) {
      return Optional.empty();
    }
    removeExpired();
    redirections.put(job.id(), new Redirection(shard.getAsInt(), timer.nanoTime()));
    neighbours.redirected(shard.getAsInt(), service, tasks);
    counters.redirected();
    LOG.write(
        LogEvent.JOB_REDIRECTED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "shard",
        shard.getAsInt(),
        "tasks",
        tasks);
    return Optional.of(new JobAnswer.Redirected(shard.getAsInt()));
  }

  private void removeExpired() {
    long oldest = timer.nanoTime() - RETENTION.toNanos();
    var oldestFirst = redirections.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().atNanos() - oldest < 0) {
      oldestFirst.remove();
    }
  }
}
