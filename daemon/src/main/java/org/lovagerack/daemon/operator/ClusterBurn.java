package org.lovagerack.daemon.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.burn.BurnRecorder;
import org.lovagerack.burn.BurnSnapshot;
import org.lovagerack.burn.BurnSnapshotCodec;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.CallOutcome;

/** Collects the error-budget burn of this entry VM and of all others for operators. */
public final class ClusterBurn {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final String address;
  private final BurnRecorder recorder;

  /**
   * Creates an instance.
   *
   * @param address peer address of this entry VM
   * @param recorder counts of this entry VM
   */
  public ClusterBurn(String address, BurnRecorder recorder) {
    this.address = address;
    this.recorder = recorder;
  }

  /** Returns the current counts. Must be called on the event loop. */
  public BurnSnapshot snapshot() {
    return recorder.snapshot();
  }

  /** Encodes a snapshot as an answer. May be called on any thread. */
  public static Answer encode(BurnSnapshot snapshot) {
    return Answer.json(OK, BurnSnapshotCodec.encode(snapshot));
  }

  /**
   * Returns the merged snapshot of this entry VM and of all others that answered, with the
   * addresses of those that answered and of those that did not. An entry VM whose answer is not
   * valid is listed as unreachable. May be called on any thread.
   *
   * @param own counts of this entry VM
   * @param outcomes outcomes of the calls to the other entry VMs, by address
   */
  public Answer merge(BurnSnapshot own, Map<String, CallOutcome> outcomes) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode reached = root.putArray("reached").add(address);
    ArrayNode unreachable = root.putArray("unreachable");
    BurnSnapshot merged = own;
    for (Map.Entry<String, CallOutcome> outcome : outcomes.entrySet()) {
      Optional<BurnSnapshot> snapshot = read(outcome.getValue());
      merged = snapshot.map(merged::merge).orElse(merged);
      (snapshot.isPresent() ? reached : unreachable).add(outcome.getKey());
    }
    root.set("snapshot", BurnSnapshotCodec.toJson(merged));
    return Answer.json(OK, root.toString());
  }

  private static Optional<BurnSnapshot> read(CallOutcome outcome) {
    if (!(outcome instanceof CallOutcome.Answered answered) || answered.status() != OK) {
      return Optional.empty();
    }
    try {
      return Optional.of(BurnSnapshotCodec.decode(answered.body().toText()));
    } catch (LovagerackException e) {
      return Optional.empty();
    }
  }
}
