package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** Guards against accepting a process without the cluster key as a peer. */
final class HandshakeTest {

  private static final PeerIdentity DIALER = new PeerIdentity("domain-a", "10.1.0.1:7000", 1);
  private static final PeerIdentity ACCEPTOR = new PeerIdentity("domain-b", "10.1.0.2:7000", 2);

  private int nonces;

  @Test
  void bothSidesReceiveTheIdentityOfTheOther() throws Exception {
    Handshake dialer = dialer(TestNode.KEY);
    Handshake acceptor = acceptor();

    Frame dialerProof = dialer.receive(acceptor.challenge()).orElseThrow();
    Frame acceptorProof = acceptor.receive(dialer.challenge()).orElseThrow();
    dialer.receive(acceptorProof);
    acceptor.receive(dialerProof);

    assertThat(dialer.finished()).isTrue();
    assertThat(dialer.remote()).isEqualTo(ACCEPTOR);
    assertThat(acceptor.finished()).isTrue();
    assertThat(acceptor.remote()).isEqualTo(DIALER);
  }

  @Test
  void proofWithAnotherKeyIsRejected() throws Exception {
    Handshake dialer = dialer(Bytes.ofText("key of another cluster"));
    Handshake acceptor = acceptor();
    Frame proof = dialer.receive(acceptor.challenge()).orElseThrow();
    acceptor.receive(dialer.challenge());

    assertRejected(acceptor, proof);
  }

  @Test
  void reflectedChallengeAndProofAreRejected() throws Exception {
    Handshake acceptor = acceptor();

    assertRejected(acceptor, acceptor.challenge());

    // If both sides send the same challenge, only the direction differs.
    HandshakeProof proofs = new HandshakeProof(TestNode.KEY);
    Challenge same = acceptor.challenge().getChallenge();
    assertThat(proofs.verify(proofs.compute(false, same, same), true, same, same)).isFalse();
  }

  @Test
  void proofOfAnEarlierConnectionIsRejected() throws Exception {
    Handshake dialer = dialer(TestNode.KEY);
    Frame recorded = dialer.receive(acceptor().challenge()).orElseThrow();
    Handshake acceptor = acceptor();
    acceptor.receive(dialer.challenge());

    assertRejected(acceptor, recorded);
  }

  @Test
  void proofForAnotherIdentityIsRejected() throws Exception {
    Handshake dialer = dialer(TestNode.KEY);
    Handshake acceptor = acceptor();
    Frame proof = dialer.receive(acceptor.challenge()).orElseThrow();
    Challenge changed =
        dialer.challenge().getChallenge().toBuilder().setPeerAddress("10.1.0.3:7000").build();
    acceptor.receive(Frame.newBuilder().setChallenge(changed).build());

    assertRejected(acceptor, proof);
  }

  @Test
  void answerFromAnotherAddressThanTheDialedOneIsRejected() {
    PeerIdentity other = new PeerIdentity("domain-b", "10.1.0.9:7000", 2);
    Handshake acceptor = handshake(TestNode.KEY, other, Optional.empty());

    assertRejected(dialer(TestNode.KEY), acceptor.challenge());
  }

  private static void assertRejected(Handshake handshake, Frame frame) {
    assertThatThrownBy(() -> handshake.receive(frame)).isInstanceOf(LovagerackException.class);
    assertThat(handshake.finished()).isFalse();
  }

  private Handshake dialer(Bytes key) {
    return handshake(key, DIALER, Optional.of(ACCEPTOR.address()));
  }

  private Handshake acceptor() {
    return handshake(TestNode.KEY, ACCEPTOR, Optional.empty());
  }

  private Handshake handshake(Bytes key, PeerIdentity self, Optional<String> dialed) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    nonce[0] = (byte) ++nonces;
    return new Handshake(new HandshakeProof(key), self, nonce, dialed);
  }
}
