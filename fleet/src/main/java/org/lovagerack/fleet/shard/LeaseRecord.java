package org.lovagerack.fleet.shard;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.foundation.data.Bytes;

/**
 * The lease of a shard as it is stored.
 *
 * @param tenure token that the store granted at the start of the tenure
 * @param token fencing token, which grows with every change of owner
 * @param sequence number of the transaction that wrote the record, unique under one token
 * @param ownerAddress address for calls from other entry VMs; empty if the owner gave the shard up
 * @param ownerIncarnation random number of the owner's process
 * @param duration time for which the owner may act after it sent the transaction
 */
public record LeaseRecord(
    long tenure,
    long token,
    long sequence,
    String ownerAddress,
    long ownerIncarnation,
    Duration duration) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns whether the shard has no owner. */
  public boolean vacant() {
    return ownerAddress.isEmpty();
  }

  /** Returns whether the other record was written by the same owner during the same tenure. */
  public boolean sameTenure(LeaseRecord other) {
    return tenure == other.tenure && ownerIncarnation == other.ownerIncarnation;
  }

  LeaseRecord renewed(Duration newDuration) {
    return new LeaseRecord(
        tenure, token, sequence + 1, ownerAddress, ownerIncarnation, newDuration);
  }

  /** Returns the record with the next token that the store grants. */
  LeaseRecord raised() {
    return new LeaseRecord(
        tenure, FencingTokens.next(token), sequence, ownerAddress, ownerIncarnation, duration);
  }

  LeaseRecord released() {
    return new LeaseRecord(tenure, token, sequence + 1, "", ownerIncarnation, duration);
  }

  /** Returns the stored form. */
  public Bytes encode() {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("tenure", tenure);
    node.put("token", token);
    node.put("sequence", sequence);
    node.put("address", ownerAddress);
    node.put("incarnation", ownerIncarnation);
    node.put("durationMillis", duration.toMillis());
    try {
      return Bytes.copyOf(MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree cannot be written", e);
    }
  }

  /**
   * Reads the stored form.
   *
   * @throws MalformedRecordException if it is not a lease record
   */
  public static LeaseRecord decode(Bytes encoded) throws MalformedRecordException {
    JsonNode node;
    try {
      node = MAPPER.readTree(encoded.toByteArray());
    } catch (IOException e) {
      throw new MalformedRecordException("lease record is not JSON", e);
    }
    if (!node.path("token").canConvertToLong()
        || !node.path("address").isTextual()
        || node.path("durationMillis").asLong() <= 0) {
      throw new MalformedRecordException(
          "lease record without token, address or duration: " + node);
    }
    return new LeaseRecord(
        node.path("tenure").asLong(),
        node.path("token").asLong(),
        node.path("sequence").asLong(),
        node.path("address").asText(),
        node.path("incarnation").asLong(),
        Duration.ofMillis(node.path("durationMillis").asLong()));
  }
}
