package org.lovagerack.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;

/** Mutable state of a task from submission to outcome. */
final class TaskState {

  private final TaskSpec spec;
  private final TaskListener listener;
  private final ServiceState service;
  private final long order;
  private final long dueNanos;
  private final List<AttemptState> inFlight = new ArrayList<>(1);
  private double work;
  private boolean queued;
  private boolean finished;
  private long queuedNanos;
  private int attempts;
  private int unsentAttempts;
  private int possibleStarts;
  private int retries;
  private StartReason nextReason = StartReason.FIRST;
  private UpstreamState avoided;
  private AlarmQueue.Alarm deadlineAlarm;
  private AlarmQueue.Alarm delayAlarm;

  TaskState(
      TaskSpec spec,
      TaskListener listener,
      ServiceState service,
      long order,
      double work,
      long dueNanos) {
    this.spec = spec;
    this.listener = listener;
    this.service = service;
    this.order = order;
    this.work = work;
    this.dueNanos = dueNanos;
  }

  /** Returns the time by which the task should be answered; orders the queue. */
  long dueNanos() {
    return dueNanos;
  }

  TaskSpec spec() {
    return spec;
  }

  TaskListener listener() {
    return listener;
  }

  ServiceState service() {
    return service;
  }

  long order() {
    return order;
  }

  /** Returns the expected run time in nanoseconds on an upstream of unit speed. */
  double work() {
    return work;
  }

  boolean queued() {
    return queued;
  }

  void enterQueue(long nowNanos) {
    queued = true;
    queuedNanos = nowNanos;
  }

  void leaveQueue() {
    queued = false;
  }

  long queuedNanos() {
    return queuedNanos;
  }

  boolean finished() {
    return finished;
  }

  void finish() {
    finished = true;
  }

  List<AttemptState> inFlight() {
    return inFlight;
  }

  /** Returns whether an attempt is in flight, queued or delayed. */
  boolean pending() {
    return pendingRetry() || !inFlight.isEmpty();
  }

  /** Returns whether another attempt is queued or delayed. */
  boolean pendingRetry() {
    return queued || delayAlarm != null;
  }

  /** Counts an attempt that is handed to the transport and returns its number, from 1. */
  int attemptStarted() {
    attempts++;
    possibleStarts++;
    return attempts;
  }

  /** Records that an attempt is known not to have started the task. */
  void attemptNotStarted() {
    possibleStarts--;
  }

  /** Records that an attempt was not sent, and returns the number of such attempts. */
  int attemptUnsent() {
    possibleStarts--;
    return ++unsentAttempts;
  }

  /** Returns the number of attempts that were sent or may have been sent. */
  int sentAttempts() {
    return attempts - unsentAttempts;
  }

  boolean mayHaveRun() {
    return possibleStarts > 0;
  }

  int retries() {
    return retries;
  }

  void retried() {
    retries++;
    nextReason = StartReason.RETRY;
  }

  StartReason nextReason() {
    return nextReason;
  }

  /** Returns the upstream of the last failed attempt, or null. */
  UpstreamState avoided() {
    return avoided;
  }

  void avoid(UpstreamState upstream) {
    avoided = upstream;
  }

  boolean inFlightAt(UpstreamState upstream) {
    for (AttemptState attempt : inFlight) {
      if (attempt.upstream() == upstream) {
        return true;
      }
    }
    return false;
  }

  AlarmQueue.Alarm deadlineAlarm() {
    return deadlineAlarm;
  }

  void setDeadlineAlarm(AlarmQueue.Alarm alarm) {
    deadlineAlarm = alarm;
  }

  AlarmQueue.Alarm delayAlarm() {
    return delayAlarm;
  }

  void setDelayAlarm(AlarmQueue.Alarm alarm) {
    delayAlarm = alarm;
  }

  /** Returns a failure that states whether any attempt so far may have started the task. */
  Failure failure(ErrorKind kind, String detail) {
    return mayHaveRun() ? Failure.mayHaveRun(kind, detail) : Failure.notRun(kind, detail);
  }
}
