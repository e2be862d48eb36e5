package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.data.Bytes;

/** Guards against memory that grows with issued identifiers, and expiry at the wrong time. */
final class SubmissionStoreTest {

  private static final Bytes DIGEST = Bytes.ofText("digest");

  private final SubmissionStore store = new SubmissionStore(SubmissionSettings.defaults());
  private long now = Long.MAX_VALUE - Duration.ofMinutes(1).toNanos();

  @Test
  void unusedIdentifiersTakeLessThanOneByteEach() {
    int count = 100_000;
    long stepNanos = Duration.ofMinutes(9).toNanos() / count;
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    store.issue(1, now);
    long before = threads.getCurrentThreadAllocatedBytes();

    for (int i = 0; i < count; i++) {
      store.issue(1, now);
      now += stepNanos;
    }

    assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(count);
    assertThat(store.outstanding()).isEqualTo(count + 1);
  }

  @Test
  void unusedIdentifierExpiresAfterTenMinutesAndIsThenRemoved() {
    long first = store.issue(2, now);

    advance(Duration.ofMinutes(10).minusNanos(1));
    assertThat(store.state(first)).isEqualTo(new SubmissionState.Issued());
    advance(Duration.ofNanos(1));
    assertThat(store.state(first + 1)).isEqualTo(new SubmissionState.Expired(true));
    advance(Duration.ofSeconds(60));
    assertThat(store.state(first)).isEqualTo(new SubmissionState.Expired(false));
    assertThat(store.state(first + 2)).isEqualTo(new SubmissionState.NotIssued());
  }

  @Test
  void expiredRecordStatesWhetherItWasAccepted() {
    long first = store.issue(5000, now);
    store.refuse(first, DIGEST, OwnerProcess.OVERLOADED, now);
    store.accept(first + 4999, DIGEST, null);
    store.finish(first + 4999, new JobStatus.Failed(OwnerProcess.OVERLOADED), now);

    advance(Duration.ofSeconds(60));

    assertThat(store.state(first)).isEqualTo(new SubmissionState.Expired(true));
    assertThat(store.state(first + 4999)).isEqualTo(new SubmissionState.Expired(false));
    assertThat(store.state(first + 1)).isEqualTo(new SubmissionState.Issued());
  }

  @Test
  void recordOfRunningJobRemainsAfterItsIdentifierExpires() {
    long first = store.issue(1, now);
    store.accept(first, DIGEST, null);

    advance(Duration.ofMinutes(30));

    assertThat(store.state(first)).isEqualTo(new SubmissionState.Accepted(DIGEST, null));
  }

  private void advance(Duration duration) {
    now += duration.toNanos();
    store.removeExpired(now);
  }
}
