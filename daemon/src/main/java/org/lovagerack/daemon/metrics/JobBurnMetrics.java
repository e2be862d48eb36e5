package org.lovagerack.daemon.metrics;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagerack.burn.BurnOutcome;
import org.lovagerack.burn.BurnRecorder;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.notes.Deployment;
import org.lovagerack.submission.JobStatus;

/**
 * Counts jobs against the service-level objectives of their services. Errors of the caller, such as
 * a malformed job, an impossible job or an exhausted quota, are not counted.
 */
public final class JobBurnMetrics {

  private final BurnRecorder recorder;
  private Set<String> services = Set.of();

  public JobBurnMetrics(BurnRecorder recorder) {
    this.recorder = recorder;
  }

  /** Applies the objectives of a deployment. */
  public void deployed(Deployment deployment) {
    Set<String> withdrawn = new HashSet<>(services);
    withdrawn.removeAll(deployment.services().keySet());
    withdrawn.forEach(recorder::withdraw);
    deployment
        .services()
        .values()
        .forEach(service -> recorder.objective(service.name(), service.objective()));
    services = Set.copyOf(deployment.services().keySet());
  }

  void recordRefusal(String service, Failure failure) {
    if (countsAgainstObjective(failure.kind())) {
      recorder.record(service, BurnOutcome.REFUSED, Duration.ZERO);
    }
  }

  void recordEnd(String service, JobStatus status, Duration elapsed) {
    outcome(status).ifPresent(outcome -> recorder.record(service, outcome, elapsed));
  }

  private static boolean countsAgainstObjective(ErrorKind kind) {
    return switch (kind) {
      case OVERLOADED, QUEUE_FULL, NO_UPSTREAM, DRAINING, NOT_READY -> true;
      default -> false;
    };
  }

  private static Optional<BurnOutcome> outcome(JobStatus status) {
    return switch (status) {
      case JobStatus.Completed completed -> Optional.of(BurnOutcome.ON_TIME);
      case JobStatus.Running running -> Optional.empty();
      case JobStatus.Failed failed -> outcome(failed.failure());
    };
  }

  private static Optional<BurnOutcome> outcome(Failure failure) {
    if (failure.kind() == ErrorKind.CANCELLED) {
      return Optional.empty();
    }
    if (failure.kind() == ErrorKind.DEADLINE_EXCEEDED) {
      return Optional.of(BurnOutcome.LATE);
    }
    return Optional.of(
        failure.outcome() == RunOutcome.MAY_HAVE_RUN
            ? BurnOutcome.MAY_HAVE_RUN
            : BurnOutcome.FAILED);
  }
}
