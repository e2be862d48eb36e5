package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.data.Bytes;

/** Guards against memory that grows with issued identifiers, and against expiry at a wrong time. */
final class SubmissionLedgerTest {

  private static final Bytes DIGEST = Bytes.ofText("digest");

  private final SubmissionLedger ledger = new SubmissionLedger(SubmissionSettings.defaults());
  private long now = Long.MAX_VALUE - Duration.ofMinutes(1).toNanos();

  @Test
  void unusedIdentifiersCostLessThanOneByteEach() {
    int count = 100_000;
    long stepNanos = Duration.ofMinutes(9).toNanos() / count;
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    ledger.issue(1, now);
    long before = threads.getCurrentThreadAllocatedBytes();

    for (int i = 0; i < count; i++) {
      ledger.issue(1, now);
      now += stepNanos;
    }

    assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(count);
    assertThat(ledger.outstanding()).isEqualTo(count + 1);
  }

  @Test
  void unusedIdentifierExpiresAfterTenMinutesAndIsThenForgotten() {
    long first = ledger.issue(2, now);

    advance(Duration.ofMinutes(10).minusNanos(1));
    assertThat(ledger.state(first)).isEqualTo(new LedgerState.Issued());
    advance(Duration.ofNanos(1));
    assertThat(ledger.state(first + 1)).isEqualTo(new LedgerState.Expired(true));
    advance(Duration.ofSeconds(60));
    assertThat(ledger.state(first)).isEqualTo(new LedgerState.Expired(false));
    assertThat(ledger.state(first + 2)).isEqualTo(new LedgerState.NotIssued());
  }

  @Test
  void expiredRecordKeepsWhetherItWasAccepted() {
    long first = ledger.issue(5000, now);
    ledger.refuse(first, DIGEST, OwnerProcess.OVERLOADED, now);
    ledger.accept(first + 4999, DIGEST, null);
    ledger.finish(first + 4999, new JobStatus.Failed(OwnerProcess.OVERLOADED), now);

    advance(Duration.ofSeconds(60));

    assertThat(ledger.state(first)).isEqualTo(new LedgerState.Expired(true));
    assertThat(ledger.state(first + 4999)).isEqualTo(new LedgerState.Expired(false));
    assertThat(ledger.state(first + 1)).isEqualTo(new LedgerState.Issued());
  }

  @Test
  void jobThatRunsLongerThanItsIdentifierLivesKeepsItsRecord() {
    long first = ledger.issue(1, now);
    ledger.accept(first, DIGEST, null);

    advance(Duration.ofMinutes(30));

    assertThat(ledger.state(first)).isEqualTo(new LedgerState.Accepted(DIGEST, null));
  }

  private void advance(Duration duration) {
    now += duration.toNanos();
    ledger.advance(now);
  }
}
