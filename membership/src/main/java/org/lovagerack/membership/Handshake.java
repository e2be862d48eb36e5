package org.lovagerack.membership;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.Proof;

/** One side of the handshake on one connection: sends a challenge, then a proof. */
final class Handshake {

  static final int NONCE_BYTES = 32;
  static final int PROTOCOL_VERSION = 1;

  private final HandshakeProof proofs;
  private final boolean dialer;
  private final Optional<String> dialedAddress;
  private final Challenge ownChallenge;
  private Challenge remoteChallenge;
  private boolean finished;

  /**
   * @param dialedAddress the address that was dialed; empty on an accepted connection
   */
  Handshake(
      HandshakeProof proofs, PeerIdentity self, byte[] nonce, Optional<String> dialedAddress) {
    this.proofs = proofs;
    this.dialer = dialedAddress.isPresent();
    this.dialedAddress = dialedAddress;
    this.ownChallenge =
        Challenge.newBuilder()
            .setProtocolVersion(PROTOCOL_VERSION)
            .setNonce(ByteString.copyFrom(nonce))
            .setFailureDomain(self.failureDomain())
            .setPeerAddress(self.address())
            .setIncarnation(self.incarnation())
            .build();
  }

  Frame challenge() {
    return Frame.newBuilder().setChallenge(ownChallenge).build();
  }

  boolean finished() {
    return finished;
  }

  /**
   * Returns the authenticated identity of the other side; valid only after the handshake is
   * finished.
   */
  PeerIdentity remote() {
    return new PeerIdentity(
        remoteChallenge.getFailureDomain(),
        remoteChallenge.getPeerAddress(),
        remoteChallenge.getIncarnation());
  }

  /** Handles the next frame from the other side and returns the frame to reply with, if any. */
  Optional<Frame> receive(Frame frame) throws LovagerackException {
    if (remoteChallenge == null && frame.hasChallenge()) {
      check(frame.getChallenge());
      remoteChallenge = frame.getChallenge();
      ByteString mac = ByteString.copyFrom(proofs.compute(dialer, ownChallenge, remoteChallenge));
      return Optional.of(Frame.newBuilder().setProof(Proof.newBuilder().setMac(mac)).build());
    }
    if (remoteChallenge == null || !frame.hasProof()) {
      throw InvalidFrame.because(frame.getMessageCase() + " is not allowed in the handshake");
    }
    if (!proofs.verify(
        frame.getProof().getMac().toByteArray(), !dialer, remoteChallenge, ownChallenge)) {
      throw InvalidFrame.because("the proof of " + remoteChallenge.getPeerAddress() + " is wrong");
    }
    finished = true;
    return Optional.empty();
  }

  private void check(Challenge challenge) throws LovagerackException {
    if (challenge.getProtocolVersion() != PROTOCOL_VERSION) {
      throw InvalidFrame.because("protocol version " + challenge.getProtocolVersion());
    }
    if (challenge.getNonce().size() != NONCE_BYTES) {
      throw InvalidFrame.because("nonce of " + challenge.getNonce().size() + " bytes");
    }
    if (challenge.getNonce().equals(ownChallenge.getNonce())
        || challenge.getIncarnation() == ownChallenge.getIncarnation()) {
      throw InvalidFrame.because("the challenge was sent by this process itself");
    }
    if (!PeerAddress.valid(challenge.getPeerAddress()) || challenge.getFailureDomain().isEmpty()) {
      throw InvalidFrame.because("the identity is incomplete: " + challenge.getPeerAddress());
    }
    if (dialedAddress.isPresent() && !dialedAddress.get().equals(challenge.getPeerAddress())) {
      throw InvalidFrame.because(dialedAddress.get() + " answers as " + challenge.getPeerAddress());
    }
  }
}
