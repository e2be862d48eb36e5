package org.lovagerack.membership;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.generated.PeerProtocol.Challenge;

/**
 * Computes MACs that prove knowledge of the cluster key. A proof covers the receiver's nonce to
 * prevent replay, the direction to prevent reflection, and both identities to prevent forwarding to
 * another receiver.
 */
final class HandshakeProof {

  private static final String ALGORITHM = "HmacSHA256";
  private static final String CONTEXT = "lovagerack peer handshake";

  private final SecretKeySpec key;

  HandshakeProof(Bytes clusterKey) {
    key = new SecretKeySpec(clusterKey.toByteArray(), ALGORITHM);
  }

  byte[] compute(boolean senderIsDialer, Challenge sender, Challenge receiver) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(transcript(senderIsDialer, sender, receiver));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java platform does not provide " + ALGORITHM, e);
    }
  }

  boolean verify(byte[] proof, boolean senderIsDialer, Challenge sender, Challenge receiver) {
    return MessageDigest.isEqual(compute(senderIsDialer, sender, receiver), proof);
  }

  private static byte[] transcript(boolean senderIsDialer, Challenge sender, Challenge receiver) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream output = new DataOutputStream(bytes)) {
      output.writeUTF(CONTEXT);
      output.writeBoolean(senderIsDialer);
      write(output, sender);
      write(output, receiver);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream output, Challenge challenge) throws IOException {
    output.writeInt(challenge.getProtocolVersion());
    output.writeInt(challenge.getNonce().size());
    challenge.getNonce().writeTo(output);
    output.writeUTF(challenge.getFailureDomain());
    output.writeUTF(challenge.getPeerAddress());
    output.writeLong(challenge.getIncarnation());
  }
}
