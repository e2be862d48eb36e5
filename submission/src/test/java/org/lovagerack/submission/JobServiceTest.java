package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/** Tests waiting, cancellation, draining and handover. */
final class JobServiceTest {

  private final List<String> starts = new ArrayList<>();
  private final List<Object> calls = new ArrayList<>();
  private final OwnerProcess owner = new OwnerProcess(1, 1, starts);

  /** Guards against a waiting caller whose callback is never called, or is called twice. */
  @Test
  void waitingCallerGetsTheAnswerOrTheProgress() throws LovagerackException {
    SubmissionId id = accept(2);
    owner.jobs.await(id, Duration.ofMillis(50), calls::add);
    owner.openTasks.getLast().succeed();
    owner.timer.advance(Duration.ofMillis(50));
    assertThat(calls).containsExactly(new JobStatus.Running(1, 2));

    owner.jobs.await(id, Duration.ofSeconds(1), calls::add);
    owner.jobs.await(id, Duration.ofSeconds(1), calls::add).cancel();
    owner.openTasks.getLast().succeed();
    owner.timer.advance(Duration.ofSeconds(2));

    assertThat(calls).hasSize(2).last().isEqualTo(owner.jobs.find(id).orElseThrow());
  }

  /** Guards against a failure that reports "not run" while a cancelled task is still in flight. */
  @Test
  void failureIsFinalOnlyWhenEveryCancelledTaskHasEnded() throws LovagerackException {
    SubmissionId id = accept(3);
    OwnerProcess.Task inFlight = owner.openTasks.get(1);
    inFlight.start();

    assertThat(owner.jobs.cancel(id)).isEqualTo(new JobStatus.Running(2, 3));
    inFlight.succeed();

    assertThat(failure(id))
        .extracting(Failure::kind, Failure::outcome)
        .containsExactly(ErrorKind.CANCELLED, RunOutcome.MAY_HAVE_RUN);
  }

  /** Guards against an error kind that guarantees "not run" although a task of the job ran. */
  @Test
  void refusalOfOneTaskDoesNotHideThatAnotherRan() throws LovagerackException {
    SubmissionId id = accept(2);
    owner.openTasks.getFirst().succeed();
    owner.openTasks.getFirst().fail(RunOutcome.NOT_RUN);

    assertThat(failure(id).kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(failure(id).outcome()).isEqualTo(RunOutcome.MAY_HAVE_RUN);
  }

  /** Guards against a drain that completes before answers are read, or never completes. */
  @Test
  void drainWaitsForJobsAndThenForReadersOrTheLingerTime() throws LovagerackException {
    SubmissionId read = accept(1);
    SubmissionId unread = accept(1);
    owner.jobs.drain(() -> calls.add("drained"));
    assertThat(kind(submitNew(1))).isEqualTo(ErrorKind.DRAINING);
    owner.timer.advance(Duration.ofMinutes(1));

    owner.openTasks.getFirst().succeed();
    owner.openTasks.getFirst().succeed();
    assertThat(owner.jobs.find(read)).isPresent();
    owner.timer.advance(Duration.ofSeconds(4));
    assertThat(calls).isEmpty();
    owner.timer.advance(Duration.ofSeconds(1));

    assertThat(calls).containsExactly("drained");
    assertThat(owner.jobs.find(unread)).isPresent();
  }

  /** Guards against the loss of answers and refusals when their owner exits. */
  @Test
  void peerServesAnswersHandedOverByAStoppedOwner() throws LovagerackException {
    SubmissionId completed = owner.jobs.issue(2).getFirst();
    SubmissionId refused = owner.identity.identifier(completed.sequence() + 1);
    owner.submit(completed, "body", 1);
    owner.openTasks.getFirst().succeed();
    owner.refusesJobs = true;
    SubmitResult refusal = owner.submit(refused, "body", 1);
    owner.timer.advance(Duration.ofSeconds(20));
    OwnerProcess peer = new OwnerProcess(2, 2, starts);

    peer.jobs.acceptHandover(owner.jobs.handover());

    assertThat(peer.jobs.find(completed)).isEqualTo(owner.jobs.find(completed));
    assertThat(peer.submit(completed, "body", 1)).isEqualTo(new SubmitResult.Duplicate(completed));
    assertThat(peer.submit(refused, "body", 1)).isEqualTo(refusal);
    assertThat(kind(peer.submit(refused, "other body", 1)))
        .isEqualTo(ErrorKind.SUBMISSION_ID_REUSED);
    peer.timer.advance(Duration.ofSeconds(40));
    assertThat(kind(peer.submit(completed, "body", 1))).isEqualTo(ErrorKind.OWNER_UNREACHABLE);
  }

  /** Guards against unbounded memory for identifiers and answers. */
  @Test
  void memoryLimitsRefuseIdentifiersAndJobs() throws LovagerackException {
    Duration minute = Duration.ofMinutes(1);
    owner.replaceService(new SubmissionSettings(minute, minute, minute, 2, 3, 5));
    owner.jobs.issue(2);
    assertIssueRefused(2, ErrorKind.OVERLOADED);
    assertIssueRefused(3, ErrorKind.MALFORMED_REQUEST);
    assertIssueRefused(0, ErrorKind.MALFORMED_REQUEST);

    accept(1);
    owner.openTasks.getFirst().succeed();
    assertThat(kind(submitNew(1))).isEqualTo(ErrorKind.OVERLOADED);
    owner.timer.advance(minute.plusSeconds(1));
    accept(1);
    owner.jobs.issue(2);
  }

  private void assertIssueRefused(int count, ErrorKind kind) {
    assertThatThrownBy(() -> owner.jobs.issue(count)).hasMessageStartingWith(kind.name());
  }

  private SubmitResult submitNew(int tasks) {
    return owner.jobs.submit(Optional.empty(), OwnerProcess.request("job", tasks), Bytes.empty());
  }

  private SubmissionId accept(int tasks) {
    return ((SubmitResult.Accepted) submitNew(tasks)).id();
  }

  private Failure failure(SubmissionId id) throws LovagerackException {
    return ((JobStatus.Failed) owner.jobs.find(id).orElseThrow()).failure();
  }

  private static ErrorKind kind(SubmitResult result) {
    return ((SubmitResult.Refused) result).failure().kind();
  }
}
