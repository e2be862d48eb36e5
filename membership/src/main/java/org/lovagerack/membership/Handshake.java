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
  private final Challenge own;
  private Challenge remote;
  private boolean finished;

  /**
   * @param dialedAddress the address that was dialed, or nothing on an accepted connection
   */
  Handshake(
      HandshakeProof proofs, PeerIdentity self, byte[] nonce, Optional<String> dialedAddress) {
    this.proofs = proofs;
    this.dialer = dialedAddress.isPresent();
    this.dialedAddress = dialedAddress;
    this.own =
        Challenge.newBuilder()
            .setProtocolVersion(PROTOCOL_VERSION)
            .setNonce(ByteString.copyFrom(nonce))
            .setFailureDomain(self.failureDomain())
            .setPeerAddress(self.address())
            .setIncarnation(self.incarnation())
            .build();
  }

  Frame challenge() {
    return Frame.newBuilder().setChallenge(own).build();
  }

  boolean finished() {
    return finished;
  }

  /** Returns who the other side proved to be; only valid once finished. */
  PeerIdentity remote() {
    return new PeerIdentity(
        remote.getFailureDomain(), remote.getPeerAddress(), remote.getIncarnation());
  }

  /** Handles the next frame of the other side and returns the answer to it, if any. */
  Optional<Frame> receive(Frame frame) throws LovagerackException {
    if (remote == null && frame.hasChallenge()) {
      check(frame.getChallenge());
      remote = frame.getChallenge();
      ByteString mac = ByteString.copyFrom(proofs.compute(dialer, own, remote));
      return Optional.of(Frame.newBuilder().setProof(Proof.newBuilder().setMac(mac)).build());
    }
    if (remote == null || !frame.hasProof()) {
      throw InvalidFrame.because(frame.getMessageCase() + " is not allowed in the handshake");
    }
    if (!proofs.verify(frame.getProof().getMac().toByteArray(), !dialer, remote, own)) {
      throw InvalidFrame.because("the proof of " + remote.getPeerAddress() + " is wrong");
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
    if (challenge.getNonce().equals(own.getNonce())
        || challenge.getIncarnation() == own.getIncarnation()) {
      throw InvalidFrame.because("the challenge is this process's own");
    }
    if (!PeerAddress.valid(challenge.getPeerAddress()) || challenge.getFailureDomain().isEmpty()) {
      throw InvalidFrame.because("the identity is incomplete: " + challenge.getPeerAddress());
    }
    if (dialedAddress.isPresent() && !dialedAddress.get().equals(challenge.getPeerAddress())) {
      throw InvalidFrame.because(dialedAddress.get() + " answers as " + challenge.getPeerAddress());
    }
  }
}
