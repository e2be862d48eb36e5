package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.Proof;

/** A plain socket as the dialing side of the protocol, on which a test can send any bytes. */
final class RawPeer implements AutoCloseable {

  final Socket socket;
  final InputStream input;
  Challenge received;

  RawPeer(String address) throws IOException {
    InetSocketAddress target = PeerAddress.parse(address);
    socket = new Socket(target.getAddress(), target.getPort());
    // Makes the test fail instead of blocking indefinitely.
    socket.setSoTimeout(60_000);
    input = socket.getInputStream();
  }

  static Challenge challenge(String address, long incarnation) {
    return Challenge.newBuilder()
        .setProtocolVersion(Handshake.PROTOCOL_VERSION)
        .setNonce(ByteString.copyFrom(new byte[Handshake.NONCE_BYTES]))
        .setFailureDomain("domain-a")
        .setPeerAddress(address)
        .setIncarnation(incarnation)
        .build();
  }

  void readChallenge() throws IOException {
    received = Frame.parseDelimitedFrom(input).getChallenge();
  }

  void send(Frame frame) throws IOException {
    frame.writeDelimitedTo(socket.getOutputStream());
  }

  void send(Challenge challenge) throws IOException {
    send(Frame.newBuilder().setChallenge(challenge).build());
  }

  void sendProof(byte[] mac) throws IOException {
    Proof proof = Proof.newBuilder().setMac(ByteString.copyFrom(mac)).build();
    send(Frame.newBuilder().setProof(proof).build());
  }

  /** Completes the handshake with the correct key. */
  RawPeer authenticate(Challenge own) throws IOException {
    readChallenge();
    send(own);
    sendProof(new HandshakeProof(TestNode.KEY).compute(true, own, received));
    assertThat(readProof()).isNotEmpty();
    return this;
  }

  byte[] readProof() throws IOException {
    return Frame.parseDelimitedFrom(input).getProof().getMac().toByteArray();
  }

  /** Reads until the other side closes the connection. */
  void awaitClose() {
    try {
      input.transferTo(OutputStream.nullOutputStream());
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection was not closed", e);
    } catch (IOException e) {
      // A reset closes the connection as well.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
