package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** What callers observed of one submission, and so what they may still observe. */
final class SubmissionOracle {

  /** Observations that generated sequences must reach. */
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

  /** Body that was accepted or refused first; empty before. */
  private String decidedBody = "";

  private boolean accepted;
  private boolean saidNotRun;
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

  /** Predicts a decision from the state of the process that decides. */
  void expectDecision(OwnerProcess decider, String body) {
    boolean first = decidedBody.isEmpty() && decider.jobs.owns(id) && age(decider) < UNUSED_NANOS;
    boolean refuses = decider.refuses || decider.jobs.isDraining();
    expectedAcceptance = first && !refuses;
    expectedRefusal = Optional.empty();
    if (first && refuses) {
      expectedRefusal =
          Optional.of(decider.jobs.isDraining() ? ErrorKind.DRAINING : ErrorKind.OVERLOADED);
    } else if (!decidedBody.isEmpty() && !decidedBody.equals(body) && isRetained(decider)) {
      expectedRefusal = Optional.of(ErrorKind.SUBMISSION_ID_REUSED);
    }
  }

  void observe(SubmitResult result, String body, OwnerProcess decider) {
    if (expectedAcceptance) {
      assertThat(result).isEqualTo(new SubmitResult.Accepted(id));
    }
    if (expectedRefusal.isPresent()) {
      assertThat(result).isInstanceOf(SubmitResult.Refused.class);
    }
    switch (result) {
      case SubmitResult.Accepted now -> {
        assertThat(decidedBody).as("earlier decision on %s", id).isEmpty();
        accepted = true;
        decidedBody = body;
      }
      case SubmitResult.Duplicate earlier ->
          assertThat(accepted && decidedBody.equals(body)).as("%s repeats", id).isTrue();
      case SubmitResult.Refused refused -> observeRefusal(refused.failure(), body, decider);
    }
  }

  private void observeRefusal(Failure failure, String body, OwnerProcess decider) {
    expectedRefusal.ifPresent(kind -> assertThat(failure.kind()).isEqualTo(kind));
    switch (failure.kind()) {
      case SUBMISSION_ID_REUSED -> {
        assertThat(decidedBody).as("first body of %s", id).isNotEmpty().isNotEqualTo(body);
        recordClaim(failure);
      }
      case SUBMISSION_EXPIRED, OWNER_LOST -> observe(failure, decider);
      default -> {
        assertThat(accepted).as("%s was accepted and then refused: %s", id, failure).isFalse();
        assertThat(body).isEqualTo(decidedBody.isEmpty() ? body : decidedBody);
        decidedBody = body;
        observeFinal(new JobStatus.Failed(failure), decider);
      }
    }
  }

  /** Checks a failure to look the submission up. */
  void observe(Failure failure, OwnerProcess decider) {
    recordClaim(failure);
    boolean owned = decider.jobs.owns(id);
    boolean allowed =
        switch (failure.kind()) {
          case OWNER_LOST -> !owned;
          case SUBMISSION_EXPIRED ->
              owned
                  && (decidedBody.isEmpty() ? age(decider) >= UNUSED_NANOS : !isRetained(decider));
          case NOT_FOUND -> owned && decidedBody.isEmpty();
          default -> false;
        };
    assertThat(allowed).as("%s for %s", failure, id).isTrue();
  }

  /** Checks what a read returned; empty means that the identifier is not used. */
  void observe(Optional<JobStatus> status, OwnerProcess decider) {
    if (status.isEmpty()) {
      assertThat(decidedBody).as("forgotten decision on %s", id).isEmpty();
      assertThat(age(decider)).isLessThan(UNUSED_NANOS + EXPIRY_LAG_NANOS);
    } else if (status.get() instanceof JobStatus.Running) {
      assertThat(accepted && finalStatus.isEmpty()).as("%s is running", id).isTrue();
    } else {
      observeFinal(status.get(), decider);
    }
  }

  private void observeFinal(JobStatus status, OwnerProcess decider) {
    if (finalStatus.isEmpty()) {
      finalStatus = Optional.of(status);
      finalNanos = decider.timer.nanoTime();
    }
    assertThat(status).as("final status of %s", id).isEqualTo(finalStatus.get());
    if (status instanceof JobStatus.Failed failed) {
      recordClaim(failed.failure());
    } else {
      assertThat(((JobStatus.Completed) status).answers())
          .as("whole answer of %s", id)
          .isEqualTo(
              IntStream.range(0, taskCount)
                  .mapToObj(i -> OwnerProcess.answerTo(decidedBody + "/" + i))
                  .toList());
    }
  }

  private void recordClaim(Failure failure) {
    saidNotRun |= failure.outcome() == RunOutcome.NOT_RUN;
    if (failure.outcome() == RunOutcome.RAN) {
      assertThat(ownStarts()).as("tasks of %s that ran", id).hasSize(taskCount);
    }
    if (failure.kind().guaranteesNotRun()) {
      assertThat(failure.outcome()).as("%s", failure).isEqualTo(RunOutcome.NOT_RUN);
    }
  }

  /** Checks the starts of all processes, past and present. */
  void checkStarts() {
    assertThat(ownStarts())
        .as("starts of %s", id)
        .doesNotHaveDuplicates()
        .allMatch(started -> started.startsWith(decidedBody + "/"));
    if (saidNotRun) {
      assertThat(ownStarts()).as("starts of %s after it was said not to have run", id).isEmpty();
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
