package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.CallOutcome.Answered;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** Guards against protocol violations on one connection that affect other connections. */
@Timeout(120)
final class HostileConnectionTest {

  private static final Challenge UNKNOWN_PEER = RawPeer.challenge("127.0.0.1:9", 77);
  private static final byte[] LENGTH_OF_FIVE_MEBIBYTES = {
    (byte) 0x80, (byte) 0x80, (byte) 0xc0, 0x02
  };

  /** Actions on a connection after which the node must close that connection and no other. */
  private interface Attack {
    void run(TestLoop loop, RawPeer connection) throws Exception;
  }

  private static void assertOnlyThisConnectionIsClosed(Attack attack) throws Exception {
    try (TestLoop loop = new TestLoop();
        TestNode node =
            new TestNode(loop, TestNode.settingsAt("127.0.0.1:0", Optional.empty(), 1), Set.of());
        TestNode peer = TestNode.start(loop, 2, node.address)) {
      loop.until(() -> node.sees(peer) && node.network.connectedAddresses() == 1);
      try (RawPeer connection = new RawPeer(node.address)) {
        attack.run(loop, connection);
        connection.awaitClose();
      }
      loop.until(() -> node.network.rejectedConnections() > 0);

      assertThat(node.network.rejectedConnections()).isEqualTo(1);
      assertThat(node.callsReceived).isZero();
      assertThat(loop.get(() -> node.sees(peer))).isTrue();
      assertThat(peer.await(node.address, 1)).isInstanceOf(Answered.class);
    }
  }

  @Property(seed = "4104", tries = 40)
  void garbageFromUnauthenticatedPeer(@ForAll @Size(min = 1, max = 3000) byte[] garbage)
      throws Exception {
    assertOnlyThisConnectionIsClosed((loop, connection) -> sendAndEndStream(connection, garbage));
  }

  @Property(seed = "4105", tries = 40)
  void garbageFromAuthenticatedPeer(@ForAll @Size(min = 1, max = 3000) byte[] garbage)
      throws Exception {
    assertOnlyThisConnectionIsClosed(
        (loop, connection) -> sendAndEndStream(connection.authenticate(UNKNOWN_PEER), garbage));
  }

  @Test
  void oversizeFrameFromAuthenticatedPeer() throws Exception {
    assertOnlyThisConnectionIsClosed(
        (loop, connection) ->
            connection
                .authenticate(UNKNOWN_PEER)
                .socket
                .getOutputStream()
                .write(LENGTH_OF_FIVE_MEBIBYTES));
  }

  @Test
  void frameOverHandshakeLimitFromUnauthenticatedPeer() throws Exception {
    // The length 1,025 in two bytes.
    byte[] length = {(byte) 0x81, 0x08};
    assertOnlyThisConnectionIsClosed(
        (loop, connection) -> connection.socket.getOutputStream().write(length));
  }

  @Test
  void incompleteFrameAtEndOfStream() throws Exception {
    assertOnlyThisConnectionIsClosed(
        (loop, connection) ->
            sendAndEndStream(connection.authenticate(UNKNOWN_PEER), new byte[] {100, 1, 2, 3}));
  }

  @Test
  void callBeforeTheProof() throws Exception {
    Frame call = Frame.newBuilder().setCallRequest(CallRequest.getDefaultInstance()).build();
    assertOnlyThisConnectionIsClosed((loop, connection) -> connection.send(call));
    assertOnlyThisConnectionIsClosed(
        (loop, connection) -> {
          connection.send(UNKNOWN_PEER);
          connection.send(call);
        });
  }

  @Test
  void wrongProof() throws Exception {
    assertOnlyThisConnectionIsClosed(
        (loop, connection) -> {
          connection.readChallenge();
          connection.send(UNKNOWN_PEER);
          // Sends the node's own proof back to it.
          connection.sendProof(connection.readProof());
        });
  }

  @Test
  void handshakeThatIsNeverFinished() throws Exception {
    assertOnlyThisConnectionIsClosed(
        (loop, connection) -> {
          connection.readChallenge();
          loop.advance(Duration.ofMillis(5_500));
        });
  }

  @Test
  void nodesWithDifferentKeysDoNotSeeEachOther() throws Exception {
    Bytes otherKey = Bytes.ofText("key of another cluster");
    try (TestLoop loop = new TestLoop();
        TestNode node = TestNode.start(loop, 1);
        TestNode outsider =
            new TestNode(loop, TestNode.settings("domain-a", 2, otherKey), Set.of(node.address))) {
      assertThat(outsider.await(node.address, 1)).isInstanceOf(CallOutcome.NotSent.class);
      loop.advance(Duration.ofSeconds(3));

      assertThat(loop.get(node.view::peers)).isEmpty();
      assertThat(loop.get(outsider.view::peers)).isEmpty();
    }
  }

  @Test
  void onlyUnauthenticatedConnectionsAreLimited() throws Exception {
    try (TestLoop loop = new TestLoop();
        TestNode node =
            new TestNode(loop, TestNode.settingsAt("127.0.0.1:0", Optional.empty(), 1), Set.of())) {
      List<RawPeer> connections = new ArrayList<>();
      for (int number = 0; number < 5; number++) {
        connections.add(new RawPeer(node.address).authenticate(UNKNOWN_PEER));
      }
      for (int number = 0; number < 4; number++) {
        connections.add(new RawPeer(node.address));
        connections.getLast().readChallenge();
      }
      try (RawPeer refused = new RawPeer(node.address)) {
        refused.awaitClose();
      }
      connections.getLast().close();
      loop.until(() -> acceptsConnection(node));
      for (RawPeer connection : connections) {
        connection.close();
      }
    }
  }

  private static boolean acceptsConnection(TestNode node) throws Exception {
    try (RawPeer connection = new RawPeer(node.address)) {
      Frame first = Frame.parseDelimitedFrom(connection.input);
      return first != null && first.hasChallenge();
    }
  }

  private static void sendAndEndStream(RawPeer connection, byte[] bytes) throws Exception {
    connection.socket.getOutputStream().write(bytes);
    connection.socket.shutdownOutput();
  }
}
