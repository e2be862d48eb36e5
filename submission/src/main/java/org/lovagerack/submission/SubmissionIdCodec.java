package org.lovagerack.submission;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/**
 * Encodes submission identifiers as text that is authenticated with the cluster key. The text is
 * unpadded base64url, so it can be used in a URL path and in an HTTP header. Not thread-safe.
 */
public final class SubmissionIdCodec {

  private static final String ALGORITHM = "HmacSHA256";

  /** Domain separation from other uses of the cluster key. */
  private static final byte[] MAC_CONTEXT =
      "lovagerack submission id".getBytes(StandardCharsets.US_ASCII);

  private static final byte VERSION = 1;

  /** 128 bits make it infeasible to forge a code by guessing. */
  private static final int MAC_BYTES = 16;

  private static final int MAX_NAME_BYTES = 255;
  private static final int FIXED_BYTES = 2 + 2 * Long.BYTES;
  private static final int MAX_TEXT_LENGTH = 4 * (FIXED_BYTES + 2 * MAX_NAME_BYTES + MAC_BYTES) / 3;

  private final Mac mac;

  /**
   * Creates a codec.
   *
   * @param clusterKey key that all entry VMs share
   * @throws IllegalArgumentException if the key is empty
   */
  public SubmissionIdCodec(Bytes clusterKey) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(clusterKey.toByteArray(), ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the JDK has no " + ALGORITHM, e);
    }
  }

  /**
   * Encodes an identifier.
   *
   * @throws IllegalArgumentException if the failure domain or the address is over 255 bytes
   */
  public String encode(SubmissionId id) {
    byte[] domain = nameBytes(id.failureDomain());
    byte[] address = nameBytes(id.peerAddress());
    byte[] payload =
        ByteBuffer.allocate(FIXED_BYTES + domain.length + address.length)
            .put(VERSION)
            .putLong(id.incarnation())
            .putLong(id.sequence())
            .put((byte) domain.length)
            .put(domain)
            .put(address)
            .array();
    byte[] signed = Arrays.copyOf(payload, payload.length + MAC_BYTES);
    System.arraycopy(authenticationCode(payload), 0, signed, payload.length, MAC_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
  }

  /**
   * Decodes an identifier.
   *
   * @throws LovagerackException {@code INVALID_SUBMISSION_ID} if the text is malformed or was not
   *     made with the cluster key
   */
  public SubmissionId decode(String text) throws LovagerackException {
    if (text.length() > MAX_TEXT_LENGTH) {
      throw invalid("it has " + text.length() + " characters, at most " + MAX_TEXT_LENGTH);
    }
    byte[] signed = decodeBase64(text);
    if (signed.length < FIXED_BYTES + MAC_BYTES) {
      throw invalid("it is too short");
    }
    byte[] payload = Arrays.copyOf(signed, signed.length - MAC_BYTES);
    byte[] receivedCode = Arrays.copyOfRange(signed, payload.length, signed.length);
    if (!MessageDigest.isEqual(receivedCode, authenticationCode(payload))) {
      throw invalid("its authentication code is wrong");
    }
    return parse(payload);
  }

  private static SubmissionId parse(byte[] payload) throws LovagerackException {
    ByteBuffer buffer = ByteBuffer.wrap(payload);
    byte version = buffer.get();
    if (version != VERSION) {
      throw invalid("its version is " + version + ", expected " + VERSION);
    }
    long incarnation = buffer.getLong();
    long sequence = buffer.getLong();
    byte[] domain = new byte[Byte.toUnsignedInt(buffer.get())];
    try {
      buffer.get(domain);
    } catch (BufferUnderflowException e) {
      throw invalid("it is truncated");
    }
    byte[] address = new byte[buffer.remaining()];
    buffer.get(address);
    return new SubmissionId(
        new String(domain, StandardCharsets.UTF_8),
        new String(address, StandardCharsets.UTF_8),
        incarnation,
        sequence);
  }

  /** Accepts canonical base64url only, so that each identifier has exactly one text form. */
  private static byte[] decodeBase64(String text) throws LovagerackException {
    try {
      byte[] decoded = Base64.getUrlDecoder().decode(text);
      if (Base64.getUrlEncoder().withoutPadding().encodeToString(decoded).equals(text)) {
        return decoded;
      }
    } catch (IllegalArgumentException e) {
      throw invalid("it is not base64url");
    }
    throw invalid("it is not canonical base64url");
  }

  private byte[] authenticationCode(byte[] payload) {
    mac.update(MAC_CONTEXT);
    return Arrays.copyOf(mac.doFinal(payload), MAC_BYTES);
  }

  private static byte[] nameBytes(String name) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_NAME_BYTES) {
      throw new IllegalArgumentException("name is over " + MAX_NAME_BYTES + " bytes: " + name);
    }
    return bytes;
  }

  private static LovagerackException invalid(String reason) {
    return new LovagerackException(
        Failure.notRun(
            ErrorKind.INVALID_SUBMISSION_ID, "the submission identifier is not valid: " + reason));
  }
}
