package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagerack.foundation.data.Bytes;

/** Guards against calls and heartbeats that get lost or are attributed to the wrong process. */
@Timeout(120)
final class PeerNetworkTest {

  private final TestLoop loop = new TestLoop();

  @AfterEach
  void stop() {
    loop.close();
  }

  @Test
  void peersSeeEachOtherWithLoadAndRevision() throws Exception {
    try (TestNode first = TestNode.start(loop, 1);
        TestNode second = TestNode.start(loop, 2, first.address)) {
      loop.until(() -> first.sees(second) && second.sees(first));

      loop.run(
          () -> {
            first.status =
                new LocalStatus(
                    PeerState.SERVING, 7, 3, Map.of("10.0.0.1:80", 5), 9, Set.of("10.0.0.2:80"));
            first.network.statusChanged();
          });
      loop.until(() -> second.view.peer(first.address).orElseThrow().status().revision() == 7);

      assertThat(loop.get(() -> second.view.peer(first.address).orElseThrow().status()))
          .isEqualTo(first.status);
      assertThat(loop.get(() -> second.view.attemptsOfPeers("10.0.0.1:80"))).isEqualTo(5);
    }
  }

  @Test
  void callIsAnsweredAcrossFailureDomains() throws Exception {
    try (TestNode owner = TestNode.start(loop, 1);
        TestNode caller =
            new TestNode(loop, TestNode.settings("domain-b", 2, TestNode.KEY), Set.of())) {
      assertThat(caller.await(owner.address, 1))
          .isEqualTo(new CallOutcome.Answered(200, Bytes.ofText("submission-1")));
      assertThat(loop.get(() -> owner.view.peers())).isEmpty();
      loop.advance(Duration.ofSeconds(1));
    }
  }
}
