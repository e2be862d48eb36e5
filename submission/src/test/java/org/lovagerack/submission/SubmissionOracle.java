package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Test oracle that checks what callers observe of one submission against earlier observations. */
final class SubmissionOracle {

  /** Observations that the generated sequences must produce. */
  static final List<String> REACHABLE =
      List.of(
          ("Accepted Duplicate Completed HandedOver CANCELLED UPSTREAM_FAILED OUTCOME_UNKNOWN"
                  + " OVERLOADED DRAINING SUBMISSION_ID_REUSED SUBMISSION_EXPIRED OWNER_LOST")
              .split(" "));

  private static final long UNUSED_NANOS = Duration.ofMinutes(10).toNanos();
  private static final long EXPIRY_LAG_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

  private final SubmissionId id;
  private final String name;
  private final int taskCount;
  private final long issuedNanos;
  private final List<String> starts;

  /** Body that was accepted or refused first; empty before the first submission. */
  private String recordedBody = "";

  private boolean accepted;
  private boolean reportedNotRun;
  private Optional<JobStatus> finalStatus = Optional.empty();
  private long finalNanos;
  private Optional<ErrorKind> expectedRefusal = Optional.empty();
  private boolean expectedAcceptance;

  SubmissionOracle(SubmissionId id, int number, OwnerProcess owner, List<String> starts) {
    this.id = id;
    this.name = "submission " + number;
    this.taskCount = 1 + number % 3;
    this.issuedNanos = owner.timer.nanoTime();
    this.starts = starts;
  }

  SubmissionId id() {
    return id;
  }

  int taskCount() {
    return taskCount;
  }

  String body() {
    return name;
  }

  String otherBody() {
    return "other " + name;
  }

  Optional<String> finalKind() {
    return finalStatus.map(
        status ->
            status instanceof JobStatus.Failed failed
                ? failed.failure().kind().name()
                : status.getClass().getSimpleName());
  }

  /** Predicts the result of a submission from the state of the process that handles it. */
  void predictResult(OwnerProcess handler, String body) {
    boolean first = recordedBody.isEmpty() && handler.jobs.owns(id) && age(handler) < UNUSED_NANOS;
    boolean refuses = handler.refusesJobs || handler.jobs.isDraining();
    expectedAcceptance = first && !refuses;
    expectedRefusal = Optional.empty();
    if (first && refuses) {
      expectedRefusal =
          Optional.of(handler.jobs.isDraining() ? ErrorKind.DRAINING : ErrorKind.OVERLOADED);
    } else if (!recordedBody.isEmpty() && !recordedBody.equals(body) && isRetained(handler)) {
      expectedRefusal = Optional.of(ErrorKind.SUBMISSION_ID_REUSED);
    }
  }

  void observe(SubmitResult result, String body, OwnerProcess handler) {
    if (expectedAcceptance) {
      assertThat(result).isEqualTo(new SubmitResult.Accepted(id));
    }
    if (expectedRefusal.isPresent()) {
      assertThat(result).isInstanceOf(SubmitResult.Refused.class);
    }
    switch (result) {
      case SubmitResult.Accepted now -> {
        assertThat(recordedBody).as("earlier submission of %s", id).isEmpty();
        accepted = true;
        recordedBody = body;
      }
      case SubmitResult.Duplicate earlier ->
          assertThat(accepted && recordedBody.equals(body))
              .as("%s repeats an accepted submission", id)
              .isTrue();
      case SubmitResult.Refused refused -> observeRefusal(refused.failure(), body, handler);
    }
  }

  private void observeRefusal(Failure failure, String body, OwnerProcess handler) {
    expectedRefusal.ifPresent(kind -> assertThat(failure.kind()).isEqualTo(kind));
    switch (failure.kind()) {
      case SUBMISSION_ID_REUSED -> {
        assertThat(recordedBody).as("first body of %s", id).isNotEmpty().isNotEqualTo(body);
        checkReportedOutcome(failure);
      }
      case SUBMISSION_EXPIRED, OWNER_LOST -> observe(failure, handler);
      default -> {
        assertThat(accepted).as("%s was accepted and then refused: %s", id, failure).isFalse();
        assertThat(body).isEqualTo(recordedBody.isEmpty() ? body : recordedBody);
        recordedBody = body;
        observeFinal(new JobStatus.Failed(failure), handler);
      }
    }
  }

  /** Checks a failure of looking up the submission. */
  void observe(Failure failure, OwnerProcess handler) {
    checkReportedOutcome(failure);
    boolean owned = handler.jobs.owns(id);
    boolean allowed =
        switch (failure.kind()) {
          case OWNER_LOST -> !owned;
          case SUBMISSION_EXPIRED ->
              owned
                  && (recordedBody.isEmpty() ? age(handler) >= UNUSED_NANOS : !isRetained(handler));
          case NOT_FOUND -> owned && recordedBody.isEmpty();
          default -> false;
        };
    assertThat(allowed).as("%s for %s", failure, id).isTrue();
  }

  /** Checks the status that a lookup returned; empty means that the identifier is not used. */
  void observe(Optional<JobStatus> status, OwnerProcess handler) {
    if (status.isEmpty()) {
      assertThat(recordedBody).as("lost record of %s", id).isEmpty();
      assertThat(age(handler)).isLessThan(UNUSED_NANOS + EXPIRY_LAG_NANOS);
    } else if (status.get() instanceof JobStatus.Running) {
      assertThat(accepted && finalStatus.isEmpty()).as("%s is running", id).isTrue();
    } else {
      observeFinal(status.get(), handler);
    }
  }

  private void observeFinal(JobStatus status, OwnerProcess handler) {
    if (finalStatus.isEmpty()) {
      finalStatus = Optional.of(status);
      finalNanos = handler.timer.nanoTime();
    }
    assertThat(status).as("final status of %s", id).isEqualTo(finalStatus.get());
    if (status instanceof JobStatus.Failed failed) {
      checkReportedOutcome(failed.failure());
    } else {
      assertThat(((JobStatus.Completed) status).answers())
          .as("complete answer of %s", id)
          .isEqualTo(
              IntStream.range(0, taskCount)
                  .mapToObj(i -> OwnerProcess.answerTo(recordedBody + "/" + i))
                  .toList());
    }
  }

  private void checkReportedOutcome(Failure failure) {
    reportedNotRun |= failure.outcome() == RunOutcome.NOT_RUN;
    if (failure.outcome() == RunOutcome.RAN) {
      assertThat(ownStarts()).as("tasks of %s that ran", id).hasSize(taskCount);
    }
    if (failure.kind().guaranteesNotRun()) {
      assertThat(failure.outcome()).as("%s", failure).isEqualTo(RunOutcome.NOT_RUN);
    }
  }

  /** Checks the task starts of all processes, including those that have ended. */
  void checkStarts() {
    assertThat(ownStarts())
        .as("starts of %s", id)
        .doesNotHaveDuplicates()
        .allMatch(started -> started.startsWith(recordedBody + "/"));
    if (reportedNotRun) {
      assertThat(ownStarts()).as("starts of %s, which was reported as not run", id).isEmpty();
    }
  }

  private List<String> ownStarts() {
    return starts.stream().filter(started -> started.matches("(other )?" + name + "/.*")).toList();
  }

  private long age(OwnerProcess owner) {
    return owner.timer.nanoTime() - issuedNanos;
  }

  private boolean isRetained(OwnerProcess owner) {
    return owner.jobs.owns(id)
        && (finalStatus.isEmpty() || owner.timer.nanoTime() - finalNanos < RETENTION_NANOS);
  }
}
