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
 * Stored lease of a shard.
 *
 * @param term token granted at the start of the term
 * @param token fencing token, which increases with every change of owner
 * @param sequence sequence number of the transaction that wrote the record, unique for each token
 * @param ownerAddress address for calls from other entry VMs; empty if the owner released the shard
 * @param ownerIncarnation random number of the owner's process
 * @param duration duration of the lease, measured from when the owner sent the transaction
 */
public record LeaseRecord(
    long term,
    long token,
    long sequence,
    String ownerAddress,
    long ownerIncarnation,
    Duration duration) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Greater than the duration of any lease; others must not wait longer for its end. */
  private static final long MAX_STORED_MILLIS = Duration.ofMinutes(1).toMillis();

  /** Returns whether the shard has no owner. */
  public boolean vacant() {
    return ownerAddress.isEmpty();
  }

  /** Returns whether the other record was written by the same owner during the same term. */
  public boolean sameTerm(LeaseRecord other) {
    return term == other.term && ownerIncarnation == other.ownerIncarnation;
  }

  LeaseRecord renewed(Duration newDuration) {
    return new LeaseRecord(term, token, sequence + 1, ownerAddress, ownerIncarnation, newDuration);
  }

  /** Returns a copy with the next token that the store grants. */
  LeaseRecord withNextToken() {
    return new LeaseRecord(
        term, FencingTokens.next(token), sequence, ownerAddress, ownerIncarnation, duration);
  }

  LeaseRecord released() {
    return new LeaseRecord(term, token, sequence + 1, "", ownerIncarnation, duration);
  }

  /** Encodes the record as JSON. */
  public Bytes encode() {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("tenure", term);
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
   * Decodes a stored record.
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
    long durationMillis = node.path("durationMillis").asLong();
    if (!node.path("token").isIntegralNumber()
        || !node.path("token").canConvertToLong()
        || node.path("token").asLong() < 0
        || !node.path("address").isTextual()
        || durationMillis <= 0
        || durationMillis > MAX_STORED_MILLIS) {
      throw new MalformedRecordException(
          "lease record without valid token, address or duration: " + node);
    }
    return new LeaseRecord(
        node.path("tenure").asLong(),
        node.path("token").asLong(),
        node.path("sequence").asLong(),
        node.path("address").asText(),
        node.path("incarnation").asLong(),
        Duration.ofMillis(durationMillis));
  }
}
