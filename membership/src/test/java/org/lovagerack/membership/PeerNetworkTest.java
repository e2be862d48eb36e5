package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.CallOutcome.Answered;
import org.lovagerack.membership.CallOutcome.ConnectionRefused;
import org.lovagerack.membership.CallOutcome.NotSent;
import org.lovagerack.membership.CallOutcome.Unknown;
import org.lovagerack.membership.CallOutcome.WrongIncarnation;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.Heartbeat;

/** Guards against calls and heartbeats that are lost or attributed to the wrong process. */
@Timeout(120)
final class PeerNetworkTest {

  private static final Answered ANSWER = new Answered(200, Bytes.ofText("submission-1"));
  private static final Duration LONG = Duration.ofSeconds(20);

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
      loop.until(() -> second.view.peer(first.address).orElseThrow().status().equals(first.status));

      assertThat(loop.get(() -> second.view.attemptsOfPeers("10.0.0.1:80"))).isEqualTo(5);
    }
  }

  @Test
  void pushesNoteOnlyToPeersThatLackIt() throws Exception {
    try (TestNode first = TestNode.start(loop, 1);
        TestNode second = TestNode.start(loop, 2, first.address);
        TestNode third = TestNode.start(loop, 3, first.address)) {
      second.status = new LocalStatus(PeerState.SERVING, 5, 0, Map.of(), 0, Set.of());
      loop.until(() -> first.sees(third) && first.network.connectedAddresses() == 2);
      loop.until(
          () ->
              first
                  .view
                  .peer(second.address)
                  .map(peer -> peer.status().revision())
                  .equals(Optional.of(5L)));

      loop.run(() -> first.network.pushNote(5, Bytes.ofText("note")));
      loop.run(() -> first.network.pushNote(6, Bytes.ofText("note")));

      loop.until(() -> third.notes.size() == 2 && !second.notes.isEmpty());
      assertThat(third.notes).containsExactly(5L, 6L);
      assertThat(second.notes).containsExactly(6L);
    }
  }

  @Test
  void connectionToOtherFailureDomainIsClosedWhenIdle() throws Exception {
    try (TestNode owner = TestNode.start(loop, 1);
        TestNode caller = TestNode.startInOtherDomain(loop, 2)) {
      assertThat(caller.await(owner.address, 1)).isEqualTo(ANSWER);
      assertThat(loop.get(() -> owner.view.peers())).isEmpty();

      loop.skip(Duration.ofSeconds(58));
      assertThat(loop.get(caller.network::connectedAddresses)).isEqualTo(1);
      loop.skip(Duration.ofSeconds(4));
      assertThat(loop.get(caller.network::connectedAddresses)).isZero();
    }
  }

  @Test
  void slowAnswerIsAwaitedWhileOwnerSendsKeepAlives() throws Exception {
    try (TestNode owner = TestNode.start(loop, 1);
        TestNode caller = TestNode.startInOtherDomain(loop, 2)) {
      owner.answering = false;
      CompletableFuture<CallOutcome> outcome = caller.call(owner.address, 1, LONG);
      loop.until(() -> !owner.heldReplies.isEmpty());
      loop.advance(Duration.ofSeconds(8));
      assertThat(outcome).isNotDone();

      loop.run(() -> owner.heldReplies.get(0).answer(200, ANSWER.body()));

      assertThat(caller.await(outcome)).isEqualTo(ANSWER);
    }
  }

  @Test
  void callToStoppedProcessIsRefusedAndToRestartedOneReportsIncarnation() throws Exception {
    try (TestNode watcher = TestNode.start(loop, 1)) {
      TestNode earlier = TestNode.start(loop, 2, watcher.address);
      String address = earlier.address;
      loop.until(() -> watcher.sees(earlier) && watcher.network.connectedAddresses() == 1);
      earlier.close();
      // A call sent before the close is detected would end as unknown, which is correct.
      loop.until(() -> watcher.network.connectedAddresses() == 0);
      assertThat(watcher.await(address, 2)).isEqualTo(new ConnectionRefused());

      PeerNetworkSettings settings = TestNode.settingsAt(address, Optional.empty(), 3);
      try (TestNode later = new TestNode(loop, settings, Set.of(watcher.address))) {
        loop.until(() -> watcher.sees(later));
        assertThat(watcher.await(address, 2)).isEqualTo(new WrongIncarnation(3));
        assertThat(watcher.await(address, 3)).isEqualTo(ANSWER);
        assertThat(later.callsReceived).isEqualTo(1);
      }
    }
  }

  @Test
  void connectionOfReplacedIncarnationIsClosed() throws Exception {
    String address = "127.0.0.1:9";
    Challenge earlier = RawPeer.challenge(address, 21);
    Challenge later = RawPeer.challenge(address, 22);
    try (TestNode node = TestNode.start(loop, 1);
        RawPeer first = new RawPeer(node.address).authenticate(earlier)) {
      first.send(heartbeat(1, 3));
      loop.until(() -> revision(node, address) == 3);
      try (RawPeer second = new RawPeer(node.address).authenticate(later)) {
        second.send(heartbeat(1, 4));
        loop.until(() -> revision(node, address) == 4);
        first.awaitClose();
        assertThat(loop.get(() -> node.view.peer(address).orElseThrow().incarnation()))
            .isEqualTo(22);
      }
    }
  }

  @Test
  void unresponsiveConnectionsAreReplacedAndTheirCallsEndAsUnknown() throws Exception {
    try (StallingProxy proxy = new StallingProxy();
        TestNode second = TestNode.startBehind(proxy, loop, 2);
        TestNode first = TestNode.start(loop, 1, proxy.address())) {
      loop.until(() -> first.sees(second) && first.network.connectedAddresses() == 1);
      int connections = proxy.connections();
      proxy.stall();

      assertThat(outcomeWithoutAnswer(first, second)).isInstanceOf(Unknown.class);
      loop.until(() -> proxy.connections() > connections);
      loop.until(() -> first.network.connectedAddresses() == 1);
      assertThat(first.await(second.address, 2)).isEqualTo(ANSWER);
    }
  }

  @Test
  void connectionsAndCallsSurviveProcessPause() throws Exception {
    try (TestNode first = TestNode.start(loop, 1);
        TestNode second = TestNode.start(loop, 2, first.address)) {
      loop.until(() -> first.sees(second) && second.sees(first));
      loop.until(() -> first.network.connectedAddresses() == 1);
      second.answering = false;
      CompletableFuture<CallOutcome> outcome = first.call(second.address, 2, LONG);
      loop.until(() -> !second.heldReplies.isEmpty());

      loop.pause(Duration.ofSeconds(10));
      loop.advance(Duration.ofSeconds(5));
      loop.run(() -> second.heldReplies.get(0).answer(200, ANSWER.body()));

      assertThat(first.await(outcome)).isEqualTo(ANSWER);
      assertThat(first.sees(second)).isTrue();
    }
  }

  @Test
  void earlierConnectionDoesNotProveThatLaterProcessHasEnded() throws Exception {
    try (StallingProxy proxy = new StallingProxy();
        TestNode frozen = TestNode.startBehind(proxy, loop, 2);
        TestNode caller = TestNode.startInOtherDomain(loop, 1)) {
      assertThat(caller.await(proxy.address(), 2)).isEqualTo(ANSWER);
      proxy.stall();
      try (TestNode owner = TestNode.startBehind(proxy, loop, 3)) {
        assertThat(caller.await(owner.address, 3)).isEqualTo(ANSWER);
        assertThat(caller.await(owner.address, 2)).isEqualTo(new WrongIncarnation(3));
        assertThat(frozen.callsReceived).isEqualTo(1);
      }
    }
  }

  @Test
  void acceptedConnectionWithoutHeartbeatsIsClosed() throws Exception {
    try (TestNode node = TestNode.start(loop, 1);
        RawPeer peer =
            new RawPeer(node.address).authenticate(RawPeer.challenge("127.0.0.1:9", 21))) {
      loop.until(() -> node.view.peer("127.0.0.1:9").isPresent());
      loop.advance(Duration.ofSeconds(5));
      peer.awaitClose();
      assertThat(loop.get(node.network::rejectedConnections)).isZero();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"domain-a", "domain-b"})
  void callWithLostAnswerEndsAsUnknown(String failureDomain) throws Exception {
    PeerNetworkSettings settings = TestNode.settings(failureDomain, 2, TestNode.KEY);
    try (StallingProxy proxy = new StallingProxy();
        TestNode owner = TestNode.startBehind(proxy, loop, 1);
        TestNode caller = new TestNode(loop, settings, Set.of())) {
      assertThat(caller.await(proxy.address(), 1)).isEqualTo(ANSWER);
      proxy.dropAnswers();

      assertThat(outcomeWithoutAnswer(caller, owner))
          .isEqualTo(new Unknown("the connection is unresponsive"));
      assertThat(owner.callsReceived).isEqualTo(2);
    }
  }

  @Test
  void callInProgressWhenOwnerStopsEndsAsUnknown() throws Exception {
    try (TestNode caller = TestNode.startInOtherDomain(loop, 2)) {
      TestNode owner = TestNode.start(loop, 1);
      owner.answering = false;
      CompletableFuture<CallOutcome> outcome = caller.call(owner.address, 1, LONG);
      loop.until(() -> owner.callsReceived == 1);
      owner.close();

      assertThat(caller.await(outcome)).isInstanceOf(Unknown.class);
    }
  }

  @Test
  void callIsNotSentWithoutHandshake() throws Exception {
    try (ServerSocket frozen = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        TestNode caller = TestNode.start(loop, 2)) {
      String address = "127.0.0.1:" + frozen.getLocalPort();

      assertThat(caller.await(address, 1)).isInstanceOf(NotSent.class);
      assertThat(caller.await(caller.call(address, 1, Duration.ofSeconds(1))))
          .isInstanceOf(NotSent.class);
      assertThat(caller.await("not an address", 1)).isInstanceOf(NotSent.class);
    }
  }

  /** Calls and returns the outcome after 5 s, before the call itself times out. */
  private CallOutcome outcomeWithoutAnswer(TestNode caller, TestNode owner) throws Exception {
    CompletableFuture<CallOutcome> outcome = caller.call(owner.address, owner.incarnation, LONG);
    loop.advance(Duration.ofSeconds(5));
    return outcome.getNow(null);
  }

  private long revision(TestNode node, String address) throws Exception {
    return node.view.peer(address).map(peer -> peer.status().revision()).orElse(0L);
  }

  private static Frame heartbeat(long sequence, long revision) {
    return Frame.newBuilder()
        .setHeartbeat(Heartbeat.newBuilder().setSequence(sequence).setRevision(revision))
        .build();
  }
}
