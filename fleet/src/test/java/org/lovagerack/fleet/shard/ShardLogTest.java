package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Tests the sequential transactions of an owner under store faults. */
final class ShardLogTest {

  private static final ShardRows ROWS = ShardRows.of(0);

  private final DrivenTimer timer = new DrivenTimer();
  private final FakeStore store = new FakeStore(timer);
  private final FakeStore.Connection connection = store.connect();
  private final LeaseClock clock = new LeaseClock(timer, () -> timer.nanoTime() / 1_000_000);
  private final List<String> outcomes = new ArrayList<>();
  private final List<String> losses = new ArrayList<>();
  private Runnable onCommitted = () -> {};
  private final LeaseRecord lease =
      new LeaseRecord(1000, 1000, 0, "10.0.0.1:1", 7, LeaseLength.MIN_DURATION);

  private ShardLog log() {
    store.put(ROWS.lease(), lease.encode().toText());
    long version = store.rows().get(ROWS.lease()).version();
    return new ShardLog(
        timer, clock, connection, ROWS, lease, version, clock.now(), () -> losses.add("lost"));
  }

  private CommitEntry write(String key, boolean optional) {
    RowKey row = ROWS.job(key);
    return new CommitEntry(
        List.of(new RowCondition(ROWS.ended(key), RowCondition.ABSENT)),
        List.of(new RowWrite(row, Bytes.ofText(key))),
        List.of(),
        optional,
        new CommitEntry.Listener() {
          @Override
          public void committed() {
            outcomes.add(key + " committed");
            onCommitted.run();
          }

          @Override
          public void conflicted(StoredRow current) {
            outcomes.add(key + " conflicted");
          }

          @Override
          public void dropped(String reason) {
            outcomes.add(key + " dropped");
          }
        });
  }

  private void advanceMillis(long millis) {
    timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void pendingEntriesAreCommittedTogether() {
    ShardLog log = log();
    for (int entry = 0; entry < 20; entry++) {
      log.append(write("key-" + entry, true));
    }
    advanceMillis(30);

    assertThat(outcomes).hasSize(20).allMatch(outcome -> outcome.endsWith("committed"));
    assertThat(connection.commits()).isLessThanOrEqualTo(3);
  }

  @Test
  void transactionWhoseAnswerIsLostIsCommittedOnceAndReported() {
    ShardLog log = log();
    connection.setFault(FakeStore.Fault.ANSWER_LOST);
    log.append(write("key", true));
    advanceMillis(100);
    connection.setFault(FakeStore.Fault.NONE);
    advanceMillis(1000);

    assertThat(outcomes).containsExactly("key committed");
    assertThat(losses).isEmpty();
  }

  /**
   * Guards against an owner that takes its lease for valid after another VM may have taken over the
   * shard: the transaction was applied at once, and its answer is known only when it is repeated.
   */
  @Test
  void repeatedTransactionConfirmsTheLeaseFromItsFirstAttempt() {
    ShardLog log = log();
    connection.setFault(FakeStore.Fault.ANSWER_LOST);
    log.append(write("key", true));
    advanceMillis(200);
    connection.setFault(FakeStore.Fault.NONE);
    onCommitted = () -> connection.setFault(FakeStore.Fault.UNRESPONSIVE);
    advanceMillis(LeaseLength.MIN_DURATION.toMillis() - 200);
    assertThat(outcomes).containsExactly("key committed");

    assertThat(log.leaseValid()).isFalse();
  }

  /** Guards against a lost answer that leaves the owner without a lease for longer than needed. */
  @Test
  void leaseIsRenewedAtOnceAfterALostAnswer() {
    ShardLog log = log();
    connection.setFault(FakeStore.Fault.ANSWER_LOST);
    log.append(write("key", true));
    advanceMillis(200);
    connection.setFault(FakeStore.Fault.NONE);
    advanceMillis(LeaseLength.MIN_DURATION.toMillis() - 200);

    assertThat(outcomes).containsExactly("key committed");
    assertThat(log.leaseValid()).isTrue();
  }

  @Test
  void entryThatMayBeAppliedLateIsNotReportedAsDropped() {
    ShardLog log = log();
    connection.setFault(FakeStore.Fault.DONE_LATE);
    log.append(write("key", true));
    advanceMillis(400);
    connection.setFault(FakeStore.Fault.REFUSED);
    advanceMillis(1000);
    assertThat(outcomes).isEmpty();
    connection.setFault(FakeStore.Fault.NONE);
    advanceMillis(3000);

    assertThat(outcomes).containsExactly("key committed");
    assertThat(store.rows()).containsKey(ROWS.job("key"));
  }

  @Test
  void optionalEntriesAreDroppedAndOthersRetainedWhileTheStoreRefuses() {
    ShardLog log = log();
    connection.setFault(FakeStore.Fault.REFUSED);
    log.append(write("optional", true));
    log.append(write("needed", false));
    advanceMillis(100);
    assertThat(outcomes).containsExactly("optional dropped");
    connection.setFault(FakeStore.Fault.NONE);
    advanceMillis(1000);

    assertThat(outcomes).containsExactly("optional dropped", "needed committed");
    assertThat(store.rows()).doesNotContainKey(ROWS.job("optional"));
  }

  @Test
  void entryWithAFailedConditionDoesNotBlockTheOthers() {
    store.put(ROWS.ended("known"), "ended");
    ShardLog log = log();
    log.append(write("first", true));
    log.append(write("known", true));
    log.append(write("other", true));
    advanceMillis(100);

    assertThat(outcomes)
        .containsExactlyInAnyOrder("first committed", "known conflicted", "other committed");
  }

  @Test
  void logOfAFormerOwnerCommitsNothing() {
    ShardLog log = log();
    store.put(
        ROWS.lease(),
        new LeaseRecord(2000, 2000, 0, "10.0.0.2:1", 8, LeaseLength.MIN_DURATION)
            .encode()
            .toText());
    log.append(write("key", true));
    advanceMillis(100);

    assertThat(losses).containsExactly("lost");
    assertThat(outcomes).containsExactly("key dropped");
    assertThat(log.leaseValid()).isFalse();
    assertThat(store.rows()).doesNotContainKey(ROWS.job("key"));
  }

  @Test
  void leaseIsRenewedWithoutWorkAndExpiresWithoutTheStore() {
    ShardLog log = log();
    advanceMillis(5000);
    assertThat(log.leaseValid()).isTrue();
    connection.setFault(FakeStore.Fault.UNRESPONSIVE);
    advanceMillis(LeaseLength.MIN_DURATION.toMillis() + 200);

    assertThat(log.leaseValid()).isFalse();
  }

  @Test
  void tokenIsRaisedOnceForSeveralRejectionsOfTheSameToken() {
    ShardLog log = log();
    log.fenced(1000);
    log.fenced(1000);
    advanceMillis(50);
    log.fenced(1000);
    advanceMillis(50);

    assertThat(log.token()).isEqualTo(2000);
  }

  @Test
  void releasedShardNamesNoOwner() throws Exception {
    ShardLog log = log();
    log.append(write("key", true));
    log.release(() -> outcomes.add("released"));
    advanceMillis(100);

    assertThat(outcomes).containsExactly("key committed", "released");
    assertThat(LeaseRecord.decode(store.rows().get(ROWS.owner()).value()).vacant()).isTrue();
  }
}
