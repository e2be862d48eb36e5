package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** What callers observed of one submission, and so what they may still observe. */
final class SubmissionOracle {

  private static final long UNUSED_NANOS = Duration.ofMinutes(10).toNanos();
  private static final long EXPIRY_LAG_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

  private final SubmissionId id;
  private final String name;
  private final int taskCount;
  private final long issuedNanos;
  private final List<TaskSpec> starts;
  private String decidedBody = "";
  private boolean accepted;
  private boolean saidNotRun;
  private Failure refusal;
  private JobStatus finalStatus;
  private long finalNanos;
  private ErrorKind expectedRefusal;
  private boolean acceptanceExpected;

  SubmissionOracle(SubmissionId id, int number, long issuedNanos, List<TaskSpec> starts) {
    this.id = id;
    this.name = "submission " + number;
    this.taskCount = 1 + number % 3;
    this.issuedNanos = issuedNanos;
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

  /** Predicts the first decision from the state of the owner before it decides. */
  void expectDecision(OwnerProcess decider, String body) {
    boolean open = decidedBody.isEmpty() && decider.jobs.owns(id) && !mayBeExpired(decider);
    acceptanceExpected = open && !decider.dispatcher.refuses && !decider.jobs.isDraining();
    expectedRefusal = null;
    if (open && !acceptanceExpected) {
      expectedRefusal = decider.jobs.isDraining() ? ErrorKind.DRAINING : ErrorKind.OVERLOADED;
    } else if (!decidedBody.isEmpty() && !decidedBody.equals(body) && isRetained(decider)) {
      expectedRefusal = ErrorKind.SUBMISSION_ID_REUSED;
    }
  }

  void observe(SubmitResult result, String body, OwnerProcess decider) {
    if (acceptanceExpected) {
      assertThat(result).isEqualTo(new SubmitResult.Accepted(id));
    }
    switch (result) {
      case SubmitResult.Accepted now -> {
        assertThat(decidedBody).as("%s was decided before", id).isEmpty();
        assertThat(decider.jobs.owns(id)).as("%s accepted by its owner", id).isTrue();
        accepted = true;
        decidedBody = body;
      }
      case SubmitResult.Duplicate earlier -> {
        assertThat(accepted).as("%s was accepted", id).isTrue();
        assertThat(decidedBody).isEqualTo(body);
      }
      case SubmitResult.Refused refused -> observeRefusal(refused.failure(), body, decider);
    }
  }

  private void observeRefusal(Failure failure, String body, OwnerProcess decider) {
    if (expectedRefusal != null) {
      assertThat(failure.kind()).isEqualTo(expectedRefusal);
    }
    switch (failure.kind()) {
      case SUBMISSION_ID_REUSED -> {
        assertThat(decidedBody).isNotEmpty().isNotEqualTo(body);
        recordClaim(failure);
      }
      case SUBMISSION_EXPIRED, OWNER_LOST -> observe(failure, decider);
      default -> {
        assertThat(accepted).as("%s refused after acceptance", id).isFalse();
        if (refusal == null) {
          refusal = failure;
          decidedBody = body;
          finish(new JobStatus.Failed(failure), decider);
        }
        assertThat(failure).as("%s keeps its refusal", id).isEqualTo(refusal);
        assertThat(decidedBody).isEqualTo(body);
      }
    }
  }

  /** Checks a failure to look the submission up. */
  void observe(Failure failure, OwnerProcess decider) {
    recordClaim(failure);
    switch (failure.kind()) {
      case OWNER_LOST -> assertThat(decider.jobs.owns(id)).as("%s is alive", id).isFalse();
      case SUBMISSION_EXPIRED -> {
        assertThat(decider.jobs.owns(id)).isTrue();
        if (decidedBody.isEmpty()) {
          assertThat(mayBeExpired(decider)).as("%s expired too early", id).isTrue();
        } else {
          assertThat(isRetained(decider)).as("%s forgotten too early", id).isFalse();
        }
      }
      case NOT_FOUND -> assertThat(decidedBody).isEmpty();
      default -> throw new AssertionError("unexpected failure for " + id + ": " + failure);
    }
  }

  void observe(Optional<JobStatus> status, OwnerProcess decider) {
    if (status.isEmpty()) {
      assertThat(decidedBody).as("decision on %s is lost", id).isEmpty();
      long age = decider.timer.nanoTime() - issuedNanos;
      assertThat(age).isLessThan(UNUSED_NANOS + EXPIRY_LAG_NANOS);
    } else if (status.get() instanceof JobStatus.Running) {
      assertThat(accepted && finalStatus == null).as("%s is running", id).isTrue();
    } else {
      finish(status.get(), decider);
    }
  }

  private void finish(JobStatus status, OwnerProcess decider) {
    if (finalStatus == null) {
      finalStatus = status;
      finalNanos = decider.timer.nanoTime();
    }
    assertThat(status).as("%s keeps its final status", id).isEqualTo(finalStatus);
    switch (status) {
      case JobStatus.Completed completed ->
          assertThat(completed.answers())
              .as("whole answer of %s", id)
              .containsExactlyElementsOf(
                  IntStream.range(0, taskCount)
                      .mapToObj(i -> Bytes.ofText(decidedBody + "/" + i))
                      .map(FakeDispatcher::answerTo)
                      .toList());
      case JobStatus.Failed failed -> recordClaim(failed.failure());
      case JobStatus.Running running -> throw new AssertionError("not final: " + running);
    }
  }

  private void recordClaim(Failure failure) {
    saidNotRun |= failure.outcome() == RunOutcome.NOT_RUN;
    if (failure.outcome() == RunOutcome.RAN) {
      assertThat(ownStarts()).as("tasks of %s that ran", id).hasSize(taskCount);
    }
    if (failure.kind().guaranteesNotRun()) {
      assertThat(failure.outcome()).as("outcome of %s", failure).isEqualTo(RunOutcome.NOT_RUN);
    }
  }

  /** Checks the starts of all processes, past and present. */
  void checkStarts() {
    List<String> bodies = ownStarts();
    assertThat(bodies).as("starts of the tasks of %s", id).doesNotHaveDuplicates();
    if (saidNotRun) {
      assertThat(bodies).as("starts of %s, which was said not to have run", id).isEmpty();
    }
    assertThat(bodies).allMatch(started -> started.startsWith(decidedBody + "/"));
  }

  private List<String> ownStarts() {
    return starts.stream()
        .map(task -> task.body().toText())
        .filter(started -> started.startsWith(name + "/") || started.startsWith(otherBody() + "/"))
        .toList();
  }

  private boolean mayBeExpired(OwnerProcess owner) {
    return owner.timer.nanoTime() - issuedNanos >= UNUSED_NANOS;
  }

  private boolean isRetained(OwnerProcess owner) {
    return owner.jobs.owns(id)
        && (finalStatus == null || owner.timer.nanoTime() - finalNanos < RETENTION_NANOS);
  }
}
