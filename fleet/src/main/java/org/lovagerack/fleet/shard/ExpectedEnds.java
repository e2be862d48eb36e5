package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;

/**
 * Expects when active runs end, from the caller's estimate, the worker's speed, the time since the
 * start and the reported progress.
 */
final class ExpectedEnds {

  /**
   * Time at which resources become free.
   *
   * @param nanos monotonic time, nanoseconds
   * @param freed the resources
   */
  record End(long nanos, Resources freed) {}

  /** Percentage from which the reported progress replaces the caller's estimate. */
  private static final int MIN_PERCENT = 10;

  /**
   * Share of its duration so far that an overdue run is expected to continue. Estimates are
   * sometimes too low by a factor of ten, so the expectation grows with the duration.
   */
  private static final double OVERDUE_SHARE = 0.25;

  private final JobRegistry registry;
  private final WorkerSpeeds speeds;

  ExpectedEnds(JobRegistry registry, WorkerSpeeds speeds) {
    this.registry = registry;
    this.speeds = speeds;
  }

  /**
   * Returns the expected ends of the runs on a worker in order of time. Runs of unknown jobs are
   * left out, because nothing is known of their duration.
   */
  List<End> of(WorkerSession session, long nowNanos) {
    List<End> ends = new ArrayList<>(session.runs().size());
    double speed = speeds.speed(session.id());
    for (TaskRun run : session.runs()) {
      ActiveRun active = session.activeRun(run);
      if (active.stopping()) {
        ends.add(new End(nowNanos, active.resources()));
        continue;
      }
      Optional<Task> task = registry.find(run.task());
      if (task.isPresent()) {
        long expectedNanos = (long) (task.get().step().estimatedDuration().toNanos() / speed);
        ends.add(new End(endNanos(active, expectedNanos, nowNanos), active.resources()));
      }
    }
    ends.sort(Comparator.comparingLong(End::nanos));
    return ends;
  }

  /**
   * Returns when a run is expected to end.
   *
   * @param expectedNanos expected duration according to the caller's estimate, nanoseconds
   */
  static long endNanos(ActiveRun run, long expectedNanos, long nowNanos) {
    long total =
        run.percent() >= MIN_PERCENT
            ? Duration.ofMillis(run.millisUntilPercent()).toNanos() * 100 / run.percent()
            : expectedNanos;
    long elapsed = nowNanos - run.startedNanos();
    return elapsed < total
        ? run.startedNanos() + total
        : nowNanos + (long) (elapsed * OVERDUE_SHARE);
  }
}
