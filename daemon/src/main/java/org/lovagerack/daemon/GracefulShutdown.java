package org.lovagerack.daemon;

import java.util.ArrayList;
import java.util.List;
import org.lovagerack.daemon.peer.HandoverSender;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.settings.Settings;
import org.lovagerack.submission.JobService;

/**
 * Graceful shutdown of the process. First the readiness check fails, so that the load balancer
 * removes this entry VM; then new submissions are refused, accepted jobs finish, and retained
 * answers are handed over to the peers.
 */
final class GracefulShutdown {

  private static final EventLog LOG = new EventLog(GracefulShutdown.class);

  private final TimerService timer;
  private final Settings.Drain settings;
  private final JobService jobs;
  private final HandoverSender handover;
  private final List<Runnable> callbacks = new ArrayList<>();
  private boolean started;
  private boolean handingOver;
  private boolean finished;

  GracefulShutdown(
      TimerService timer, Settings.Drain settings, JobService jobs, HandoverSender handover) {
    this.timer = timer;
    this.settings = settings;
    this.jobs = jobs;
    this.handover = handover;
  }

  /** Returns whether the shutdown was started. */
  boolean started() {
    return started;
  }

  /** Starts the shutdown unless it was started before. The callback runs when it is finished. */
  void start(Runnable callback) {
    if (finished) {
      callback.run();
      return;
    }
    callbacks.add(callback);
    if (started) {
      return;
    }
    started = true;
    LOG.write(LogEvent.DRAIN_STARTED);
    timer.after(settings.readiness(), () -> jobs.drain(() -> handOver("every job is finished")));
    timer.after(
        settings.readiness().plus(settings.limit()),
        () -> handOver("the time limit of the stop has passed"));
  }

  private void handOver(String reason) {
    if (handingOver) {
      return;
    }
    handingOver = true;
    handover.send(jobs.handover(), () -> finish(reason));
  }

  private void finish(String reason) {
    finished = true;
    LOG.write(LogEvent.DRAIN_FINISHED, "reason", reason);
    callbacks.forEach(Runnable::run);
  }
}
