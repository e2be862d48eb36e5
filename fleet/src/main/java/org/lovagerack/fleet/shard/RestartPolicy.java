package org.lovagerack.fleet.shard;

import java.time.Duration;

/**
 * Decides whether a task may start again after runs of it ended with their workers. Answers the
 * load of tasks that crash each worker that starts them: a crash takes a worker away for seconds
 * and ends the sound runs beside it. Such a task cannot be told from a sound one that ran on the
 * same worker until a second worker crashes under it, so both are repeated, each alone on a worker.
 */
final class RestartPolicy {

  /** How a task continues. */
  enum Decision {
    START,
    /** The task starts on a worker that runs no other task meanwhile. */
    START_ALONE,
    /** The task starts later, because it may be given up when more is known about its workers. */
    WAIT,
    /** The task does not start, because its caller can no longer use the result. */
    ABANDON,
    /** The task failed, because it crashes workers. */
    GIVE_UP
  }

  /** Crashes after which a task is given up. The first one may have been caused by another task. */
  private static final int MAX_CRASHES = 2;

  /**
   * Crashes after which a task is given up although it is not known whether the workers had started
   * it. A sound task meets one only if its worker crashes for another reason at that moment.
   */
  private static final int MAX_POSSIBLE_CRASHES = 4;

  /**
   * Time to wait for the cause of the second loss. By then, the first worker has restarted if it
   * crashed, and the directory lists it.
   */
  private static final Duration EXPLANATION_TIME = Duration.ofMillis(2500);

  /** Workers that never return leave a loss unexplained, so the wait doubles with each loss. */
  private static final int MAX_DOUBLINGS = 5;

  private RestartPolicy() {}

  /**
   * Decides about a task that is not running.
   *
   * @param useful whether the result of a run that starts now is of use to the caller
   */
  static Decision decide(TaskLosses losses, boolean useful, long nowNanos) {
    if (losses.isEmpty()) {
      return Decision.START;
    }
    if (losses.crashes() >= MAX_CRASHES || losses.possibleCrashes() >= MAX_POSSIBLE_CRASHES) {
      return Decision.GIVE_UP;
    }
    if (losses.anyConfirmed() && !useful) {
      return Decision.ABANDON;
    }
    int beyondFirst = losses.runs().size() - MAX_CRASHES;
    if (beyondFirst >= 0
        && nowNanos - losses.lastNanos()
            < EXPLANATION_TIME.toNanos() << Math.min(beyondFirst, MAX_DOUBLINGS)) {
      return Decision.WAIT;
    }
    return Decision.START_ALONE;
  }
}
