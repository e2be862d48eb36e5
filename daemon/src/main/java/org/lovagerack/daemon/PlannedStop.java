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
 * A planned stop: first the balancer is told, then new submissions are refused, accepted jobs
 * finish, and finished answers go to the peers.
 */
final class PlannedStop {

  private static final EventLog LOG = new EventLog(PlannedStop.class);

  private final TimerService timer;
  private final Settings.Drain settings;
  private final JobService jobs;
  private final HandoverSender handover;
  private final List<Runnable> whenFinished = new ArrayList<>();
  private boolean started;
  private boolean handingOver;
  private boolean finished;

  PlannedStop(
      TimerService timer, Settings.Drain settings, JobService jobs, HandoverSender handover) {
    this.timer = timer;
    this.settings = settings;
    this.jobs = jobs;
    this.handover = handover;
  }

  /** Returns whether the stop has begun. */
  boolean started() {
    return started;
  }

  /** Begins the stop, or joins one that has begun; the callback runs once it is finished. */
  void start(Runnable callback) {
    if (finished) {
      callback.run();
      return;
    }
    whenFinished.add(callback);
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
    whenFinished.forEach(Runnable::run);
  }
}
