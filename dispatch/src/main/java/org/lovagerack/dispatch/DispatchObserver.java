package org.lovagerack.dispatch;

import java.time.Duration;
import org.lovagerack.foundation.error.ErrorKind;

/** Receives dispatcher events for metrics and logs. All methods do nothing by default. */
public interface DispatchObserver {

  /** Returns an observer that ignores everything. */
  static DispatchObserver none() {
    return new DispatchObserver() {};
  }

  /** An attempt was handed to the transport after its task was queued for {@code queueTime}. */
  default void attemptStarted(
      String service, String upstream, StartReason reason, Duration queueTime) {}

  /** An upstream answered. */
  default void attemptAnswered(String service, String upstream, int status, Duration runTime) {}

  /** An attempt ended before any byte of its request was sent. */
  default void attemptNotSent(String service, String upstream, String reason) {}

  /**
   * An attempt ended without a complete answer, or exceeded the maximum run time of the service.
   */
  default void attemptLost(String service, String upstream, String reason) {}

  /** An attempt was cancelled because its task ended. */
  default void attemptCancelled(String service, String upstream) {}

  /** A task returned to the queue for another attempt. */
  default void taskRetried(String service, String taskKey) {}

  /** A retry was not made because the retry budget of the service is exhausted. */
  default void retryBudgetExhausted(String service) {}

  /** An attempt is overdue, so its connection may be unresponsive. */
  default void connectionSuspect(String service, String upstream) {}

  /** An upstream was ejected for a period. */
  default void upstreamEjected(String service, String upstream, Duration period) {}

  /** An ejected upstream accepts tasks again. */
  default void upstreamReadmitted(String service, String upstream) {}

  /** An upstream gets no new tasks because it is leaving. */
  default void upstreamLeaving(String upstream) {}

  /** A job was refused. */
  default void jobRefused(String service, String team, ErrorKind kind) {}

  /** A task ended without any attempt that may have run. */
  default void taskNotRun(String service, ErrorKind kind) {}

  /** New attempts are suspended for up to {@code period} after a process pause. */
  default void startsSuspended(Duration period) {}
}
