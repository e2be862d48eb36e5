package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.CarriedState;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.shard.NeighbourLoads;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.RespondingPeers;
import org.lovagerack.fleet.support.UnresponsiveJobService;
import org.lovagerack.foundation.error.ErrorKind;

/** Tests the answer to a client when the owner of its job fails or is replaced. */
final class SubmissionRelayTest {

  private static final JobAnswer OVERLOADED =
      new JobAnswer.Refused(ErrorKind.OVERLOADED, Duration.ofSeconds(2));
  private static final JobAnswer UNREACHABLE =
      new JobAnswer.Refused(ErrorKind.OWNER_UNREACHABLE, Duration.ofSeconds(1));
  private static final JobAnswer BROKEN = new JobAnswer.Unresolved(ErrorKind.OWNER_UNREACHABLE);
  private static final JobAnswer COMPLETED = new JobAnswer.State(JobState.COMPLETED);

  private final FakeFleet fleet = new FakeFleet(2, Duration.ofMillis(50));
  private final FakeFleet.Vm vm = fleet.vm("entry");
  private final ScriptedPeers peers = new ScriptedPeers();
  private final ShardOwnerTracker tracker =
      new ShardOwnerTracker(
          fleet.timer,
          peers,
          vm.lease(),
          new IslandController(
              fleet.timer,
              peers,
              vm.shardFactory,
              ShardRows.of(0),
              new EntryVm(vm.id, "entry", "a")),
          new OwnerWorkers(fleet.timer, vm.directory),
          new TakeoverScheduler(fleet.timer, new SplittableRandom(1), 1, () -> 0),
          new NeighbourLoads(fleet.timer),
          0);
  private final ShardOwnerTracker otherShard =
      new ShardOwnerTracker(
          fleet.timer,
          peers,
          vm.lease(),
          new IslandController(
              fleet.timer,
              peers,
              vm.shardFactory,
              ShardRows.of(1),
              new EntryVm(vm.id, "entry", "a")),
          new OwnerWorkers(fleet.timer, vm.directory),
          new TakeoverScheduler(fleet.timer, new SplittableRandom(1), 1, () -> 0),
          new NeighbourLoads(fleet.timer),
          1);
  private final List<JobAnswer> answers = new ArrayList<>();

  private void storeOwner(long token, String address) {
    LeaseRecord record = new LeaseRecord(token, token, 0, address, token, Duration.ofMillis(700));
    tracker.ownerRowChanged(
        new StoredRow(
            new RowKey(ShardRows.OWNER_TABLE, "shard-0", "shard"), record.encode(), token, false));
  }

  private Submission submit(long estimatedMillis) {
    Submission submission = FakeFleet.job("job-1", 1, estimatedMillis, true);
    new SubmissionRelay(fleet.timer, tracker, shard -> otherShard, submission, true, answers::add)
        .start();
    return submission;
  }

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void refusalOfTheFirstOwnerIsForwarded() {
    storeOwner(1000, "first");
    peers.scriptedAnswers.add(OVERLOADED);
    submit(100);

    assertThat(answers).containsExactly(OVERLOADED);
  }

  @Test
  void refusalAfterAnAttemptWithUnknownOutcomeIsNotForwarded() {
    storeOwner(1000, "first");
    peers.scriptedAnswers.add(BROKEN);
    peers.scriptedAnswers.add(OVERLOADED);
    submit(1000);
    run(500);

    assertThat(answers).containsExactly(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    assertThat(peers.submissions).hasSize(2);
    assertThat(peers.submissions.get(1).repeated()).isTrue();
  }

  /** Guards against a refusal as not run by the next owner of a job that a former owner ran. */
  @Test
  void jobIsSubmittedToTheNextOwnerWithWhatItHasRun() {
    storeOwner(1000, "first");
    CarriedState state =
        new CarriedState(new JobProgress(List.of(0), Map.of(), Map.of(), true, 1_000), 3);
    peers.scriptedAnswers.add(new JobAnswer.HandedBack(state));
    peers.scriptedAnswers.add(OVERLOADED);
    submit(1000);
    run(500);

    assertThat(answers).containsExactly(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    assertThat(peers.submissions).hasSize(2);
    assertThat(peers.submissions.get(1).repeated()).isTrue();
    assertThat(peers.submissions.get(1).carried()).contains(state);
  }

  @Test
  void undeliveredSubmissionIsRetriedAsNew() {
    storeOwner(1000, "first");
    peers.scriptedAnswers.add(UNREACHABLE);
    peers.scriptedAnswers.add(COMPLETED);
    submit(1000);
    run(500);

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(peers.submissions.get(1).repeated()).isFalse();
  }

  /** Three times the objective minus the estimated work is 560 ms. Attempts are 60 ms apart. */
  @Test
  void jobWithoutAnOwnerIsRefusedLongBeforeItsDeadline() {
    submit(100);
    run(490);
    assertThat(answers).isEmpty();
    run(70);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
  }

  /** The job's objective is 220 ms; the next owner takes over only after 400 ms. */
  @Test
  void jobWaitsForTheNextOwnerOfAReleasedShard() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    storeOwner(1000, "");
    submit(100);
    run(400);
    assertThat(answers).isEmpty();
    peers.scriptedAnswers.add(COMPLETED);
    storeOwner(2000, "second");
    run(100);

    assertThat(answers).containsExactly(COMPLETED);
  }

  /** A takeover from a process that has ended takes about 100 ms. */
  @Test
  void jobWaitsForTheNextOwnerAfterTheOwnerProcessEnded() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    peers.liveness = new PeerCalls.ProcessEnded();
    storeOwner(1000, "first");
    tracker.ownersLoaded();
    peers.scriptedAnswers.add(UNREACHABLE);
    peers.scriptedAnswers.add(UNREACHABLE);
    peers.scriptedAnswers.add(UNREACHABLE);
    submit(100);
    run(160);
    assertThat(answers).isEmpty();
    peers.scriptedAnswers.clear();
    peers.scriptedAnswers.add(COMPLETED);
    storeOwner(2000, "second");

    assertThat(answers).containsExactly(COMPLETED);
  }

  @Test
  void jobIsNotSentToAnUnresponsiveOwnerAndIsNewToTheNextOwner() {
    makeOwnerUnresponsive();
    submit(100);
    run(100);
    assertThat(peers.submissions).isEmpty();
    storeOwner(2000, "second");

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.submissions.getFirst().repeated()).isFalse();
  }

  @Test
  void jobIsSentToAnOwnerThatAnswersAgain() {
    makeOwnerUnresponsive();
    submit(100);
    run(100);
    peers.liveness = new PeerCalls.Alive(0);
    run(400);

    assertThat(peers.submissions).hasSize(1);
  }

  /** Its objective is 3.26 s, but no takeover takes longer than 1.5 s. */
  @Test
  void longJobIsRefusedAfterTheMaximumTakeoverTime() {
    makeOwnerUnresponsive();
    submit(2000);
    run(1600);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
    assertThat(peers.submissions).isEmpty();
  }

  private void makeOwnerUnresponsive() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    storeOwner(1000, "first");
    tracker.ownersLoaded();
    tracker.start();
    peers.liveness = new PeerCalls.TimedOut();
    run(310);
  }

  /** Only a repeated job has to wait until no worker can still have an unreported run of it. */
  @Test
  void jobThatNoOwnerReceivedIsSentToTheNextOwnerAsNew() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    storeOwner(1000, "");
    submit(100);
    run(100);
    storeOwner(2000, "second");

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.submissions.getFirst().repeated()).isFalse();
  }

  @Test
  void jobIsRefusedWhenThereIsNoNextOwnerWithinItsUsefulTime() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    storeOwner(1000, "");
    submit(100);
    run(660);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
  }

  @Test
  void jobIsSentToTheNextOwnerWhenTheFirstIsReplaced() {
    storeOwner(1000, "first");
    submit(1000);
    assertThat(peers.submissions).hasSize(1);
    peers.scriptedAnswers.add(COMPLETED);
    storeOwner(2000, "second");
    run(500);

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(peers.submissions.get(1).repeated()).isTrue();
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void waitingJobIsNotSentAfterItsClientDisconnects() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    storeOwner(1000, "");
    Submission submission = submit(100);
    tracker.abandon(submission);
    storeOwner(2000, "second");
    run(500);

    assertThat(peers.submissions).isEmpty();
    assertThat(answers).isEmpty();
  }

  /** The client repeats the job 1.3 s after an unknown outcome, possibly at another owner. */
  @Test
  void jobIsAbandonedAtItsOwnerWhenItsOutcomeRemainsUnknown() {
    storeOwner(1000, "first");
    for (int call = 0; call < 20; call++) {
      peers.scriptedAnswers.add(BROKEN);
    }
    submit(100);
    run(1000);

    assertThat(answers).containsExactly(BROKEN);
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void jobOfADisconnectedClientIsAbandonedAtItsOwnerOnly() {
    storeOwner(1000, "first");
    tracker.abandon(submit(100));
    storeOwner(2000, "second");
    run(500);

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void definiteAnswerOfAReplacedOwnerIsDelivered() {
    storeOwner(1000, "first");
    submit(1000);
    storeOwner(2000, "second");
    run(100);
    peers.pendingCallbacks.getFirst().accept(COMPLETED);
    run(100);
    peers.pendingCallbacks.getLast().accept(COMPLETED);

    assertThat(answers).containsExactly(COMPLETED);
  }

  private static final class ScriptedPeers extends RespondingPeers {
    private Liveness liveness = new Alive(0);
    private final Deque<JobAnswer> scriptedAnswers = new ArrayDeque<>();
    private final List<Submission> submissions = new ArrayList<>();
    private final List<String> abandoned = new ArrayList<>();
    private final List<Consumer<JobAnswer>> pendingCallbacks = new ArrayList<>();

    @Override
    public void probe(
        String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
      callback.accept(liveness);
    }

    @Override
    public JobService jobsAt(String address, long incarnation) {
      return new UnresponsiveJobService() {
        @Override
        public void submit(Submission submission, Consumer<JobAnswer> callback) {
          submissions.add(submission);
          Optional.ofNullable(scriptedAnswers.poll())
              .ifPresentOrElse(callback, () -> pendingCallbacks.add(callback));
        }

        @Override
        public void abandon(Submission submission) {
          abandoned.add(address);
        }
      };
    }
  }
}
