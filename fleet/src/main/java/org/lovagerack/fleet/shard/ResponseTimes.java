package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Estimates how long workers take to answer and how many requests they leave unanswered, and from
 * that when a request counts as unanswered and how long a report may be delayed. Answers the load
 * of workers that lose some requests: the sooner that is noticed, the sooner a task runs elsewhere,
 * and the sooner the end of a run is known. The timeout follows the longest recent response time.
 * Delays in this process, as after a takeover, therefore lengthen it at once and for a while;
 * requests that are given up too early would cost further requests.
 */
final class ResponseTimes {

  private static final EventLog LOG = new EventLog(ResponseTimes.class);

  /** Covers pauses of a healthy worker and of this process, such as a garbage collection. */
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(50);

  /** Used before the first answer, and the limit for a worker that does not answer. */
  static final Duration MAX_TIMEOUT = Duration.ofMillis(250);

  private static final int TIMEOUT_PER_PEAK = 3;

  /** Part by which each answer reduces the peak; an owner under load receives hundreds a second. */
  private static final double PEAK_DECAY = 0.003;

  /** Enough to reach {@link #MAX_TIMEOUT} from {@link #MIN_TIMEOUT}. */
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Time for which a worker may delay its report until a run ends. Together with the timeout, it is
   * well below the worker's lease.
   */
  private static final Duration MAX_REPORT_WAIT = Duration.ofMillis(300);

  /** Used while requests are lost, because a lost report hides the ends of runs for that long. */
  private static final Duration MAX_REPORT_WAIT_WITH_LOSSES = Duration.ofMillis(80);

  /** Share of unanswered requests from which the wait is shortened, until it has halved. */
  private static final double LOSSES = 0.01;

  /** Weight of one request in the share of unanswered ones; covers a second or two of requests. */
  private static final double LOSS_WEIGHT = 0.005;

  private double unansweredShare;
  private boolean losing;
  private boolean observed;
  private double peakNanos;

  /** Records that a worker answered a request. */
  void recordAnswer() {
    unansweredShare -= LOSS_WEIGHT * unansweredShare;
    if (losing && unansweredShare < LOSSES / 2) {
      losing = false;
      LOG.write(LogEvent.REQUESTS_ANSWERED, "reportWait", reportWait());
    }
  }

  /** Records that a worker did not answer a request in time. */
  void recordUnanswered() {
    unansweredShare += LOSS_WEIGHT * (1 - unansweredShare);
    if (!losing && unansweredShare >= LOSSES) {
      losing = true;
      LOG.write(
          LogEvent.REQUESTS_LOST, "unansweredShare", unansweredShare, "reportWait", reportWait());
    }
  }

  /** Returns the time for which a worker may delay its report until a run ends. */
  Duration reportWait() {
    return losing ? MAX_REPORT_WAIT_WITH_LOSSES : MAX_REPORT_WAIT;
  }

  /** Records the time from a request, which asked for no delay, to its answer. */
  void observe(Duration responseTime) {
    observed = true;
    peakNanos = Math.max((double) responseTime.toNanos(), peakNanos * (1 - PEAK_DECAY));
  }

  /**
   * Returns the time after which a request counts as unanswered.
   *
   * @param unansweredInARow requests to the same worker without an answer since its last answer;
   *     each of them doubles the timeout
   */
  Duration timeout(int unansweredInARow) {
    if (!observed) {
      return MAX_TIMEOUT;
    }
    long expectedNanos = Math.max(MIN_TIMEOUT.toNanos(), (long) (TIMEOUT_PER_PEAK * peakNanos));
    int doublings = Math.min(unansweredInARow, MAX_DOUBLINGS);
    return Duration.ofNanos(Math.min(MAX_TIMEOUT.toNanos(), expectedNanos << doublings));
  }
}
