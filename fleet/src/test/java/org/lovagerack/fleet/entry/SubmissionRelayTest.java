package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.LivingPeers;
import org.lovagerack.fleet.support.SilentJobs;
import org.lovagerack.foundation.error.ErrorKind;

/** Guards what a client is told when the owner of its job fails or changes. */
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
  private final ShardSeat seat =
      new ShardSeat(
          fleet.timer,
          peers,
          vm.lease(),
          new IslandSeat(
              fleet.timer, peers, vm.parts, ShardRows.of(0), new EntryVm(vm.id, "entry", "a")),
          new TakeoverTurns(fleet.timer, new SplittableRandom(1), 1, () -> 0),
          0);
  private final List<JobAnswer> answers = new ArrayList<>();

  private void ownerIs(long token, String address) {
    LeaseRecord record = new LeaseRecord(token, token, 0, address, token, Duration.ofMillis(700));
    seat.ownerStored(
        new StoredRow(
            new RowKey(ShardRows.OWNER_TABLE, "shard-0", "shard"), record.encode(), token, false));
  }

  private Submission submit(long estimatedMillis) {
    Submission submission = FakeFleet.job("job-1", 1, estimatedMillis, true);
    new SubmissionRelay(fleet.timer, seat, submission, answers::add).start();
    return submission;
  }

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void refusalOfTheFirstOwnerIsPassedOn() {
    ownerIs(1000, "first");
    peers.script.add(OVERLOADED);
    submit(100);

    assertThat(answers).containsExactly(OVERLOADED);
  }

  @Test
  void refusalAfterAnAttemptThatMayHaveArrivedIsNotPassedOn() {
    ownerIs(1000, "first");
    peers.script.add(BROKEN);
    peers.script.add(OVERLOADED);
    submit(1000);
    run(500);

    assertThat(answers).containsExactly(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    assertThat(peers.submissions).hasSize(2);
    assertThat(peers.submissions.get(1).repeated()).isTrue();
  }

  @Test
  void callThatWasNotReceivedIsMadeAgainAsANewOne() {
    ownerIs(1000, "first");
    peers.script.add(UNREACHABLE);
    peers.script.add(COMPLETED);
    submit(1000);
    run(500);

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(peers.submissions.get(1).repeated()).isFalse();
  }

  /** Three times its objective less its own work is 560 ms; an attempt is made every 60 ms. */
  @Test
  void withoutAnOwnerTheJobIsRefusedLongBeforeItsDeadline() {
    submit(100);
    run(490);
    assertThat(answers).isEmpty();
    run(70);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
  }

  /** The job's objective is 220 ms; half of it is over long before the successor comes. */
  @Test
  void jobWaitsForTheSuccessorOfAnOwnerThatGaveTheShardUp() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "");
    submit(100);
    run(400);
    assertThat(answers).isEmpty();
    peers.script.add(COMPLETED);
    ownerIs(2000, "second");
    run(100);

    assertThat(answers).containsExactly(COMPLETED);
  }

  /** Taking the shard from a process that is gone lasts about a tenth of a second. */
  @Test
  void jobWaitsForTheSuccessorOfAProcessThatIsGone() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    peers.liveness = new PeerCalls.Gone();
    ownerIs(1000, "first");
    seat.ownersLoaded();
    peers.script.add(UNREACHABLE);
    peers.script.add(UNREACHABLE);
    peers.script.add(UNREACHABLE);
    submit(100);
    run(160);
    assertThat(answers).isEmpty();
    peers.script.clear();
    peers.script.add(COMPLETED);
    ownerIs(2000, "second");

    assertThat(answers).containsExactly(COMPLETED);
  }

  @Test
  void jobIsNotSentToAnOwnerThatIsSilentAndIsNewToTheNextOne() {
    ownerFallsSilent();
    submit(100);
    run(100);
    assertThat(peers.submissions).isEmpty();
    ownerIs(2000, "second");

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.submissions.getFirst().repeated()).isFalse();
  }

  @Test
  void jobGoesToASilentOwnerThatAnswersAgain() {
    ownerFallsSilent();
    submit(100);
    run(100);
    peers.liveness = new PeerCalls.Alive(0);
    run(400);

    assertThat(peers.submissions).hasSize(1);
  }

  /** Its objective is 3.26 s, but no takeover lasts for longer than 1.5 s. */
  @Test
  void longJobIsRefusedWhenNoSuccessorIsOnTheWay() {
    ownerFallsSilent();
    submit(2000);
    run(1600);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
    assertThat(peers.submissions).isEmpty();
  }

  private void ownerFallsSilent() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "first");
    seat.ownersLoaded();
    seat.start();
    peers.liveness = new PeerCalls.Silent();
    run(310);
  }

  /** A repeated job waits until no worker can run it unseen, which this one needs not. */
  @Test
  void jobThatNoOwnerHasReceivedIsNewToTheSuccessorAndGoesThereAtOnce() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "");
    submit(100);
    run(100);
    ownerIs(2000, "second");

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.submissions.getFirst().repeated()).isFalse();
  }

  @Test
  void jobIsRefusedWhenNoSuccessorComesWhileItIsOfUse() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "");
    submit(100);
    run(660);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
  }

  @Test
  void jobGoesToTheNextOwnerWhenTheFirstIsReplaced() {
    ownerIs(1000, "first");
    submit(1000);
    assertThat(peers.submissions).hasSize(1);
    peers.script.add(COMPLETED);
    ownerIs(2000, "second");
    run(500);

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(peers.submissions.get(1).repeated()).isTrue();
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void jobWhoseClientLeavesWhileItWaitsIsNeverSent() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "");
    Submission submission = submit(100);
    seat.abandon(submission);
    ownerIs(2000, "second");
    run(500);

    assertThat(peers.submissions).isEmpty();
    assertThat(answers).isEmpty();
  }

  /** Its client submits it again, perhaps to another owner, 1.3 s after an unknown outcome. */
  @Test
  void jobIsAbandonedAtItsOwnerWhenItsOutcomeStaysUnknown() {
    ownerIs(1000, "first");
    for (int call = 0; call < 20; call++) {
      peers.script.add(BROKEN);
    }
    submit(100);
    run(1000);

    assertThat(answers).containsExactly(BROKEN);
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void jobWhoseClientLeavesIsAbandonedAtItsOwnerOnly() {
    ownerIs(1000, "first");
    seat.abandon(submit(100));
    ownerIs(2000, "second");
    run(500);

    assertThat(peers.submissions).hasSize(1);
    assertThat(peers.abandoned).containsExactly("first");
  }

  @Test
  void answerThatIsReadyIsDeliveredAlsoFromAReplacedOwner() {
    ownerIs(1000, "first");
    submit(1000);
    ownerIs(2000, "second");
    run(100);
    peers.open.getFirst().accept(COMPLETED);
    run(100);
    peers.open.getLast().accept(COMPLETED);

    assertThat(answers).containsExactly(COMPLETED);
  }

  private static final class ScriptedPeers extends LivingPeers {
    private Liveness liveness = new Alive(0);
    private final Deque<JobAnswer> script = new ArrayDeque<>();
    private final List<Submission> submissions = new ArrayList<>();
    private final List<String> abandoned = new ArrayList<>();
    private final List<Consumer<JobAnswer>> open = new ArrayList<>();

    @Override
    public void probe(
        String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
      callback.accept(liveness);
    }

    @Override
    public JobService jobsAt(String address, long incarnation) {
      return new SilentJobs() {
        @Override
        public void submit(Submission submission, Consumer<JobAnswer> callback) {
          submissions.add(submission);
          Optional.ofNullable(script.poll()).ifPresentOrElse(callback, () -> open.add(callback));
        }

        @Override
        public void abandon(Submission submission) {
          abandoned.add(address);
        }
      };
    }
  }
}
