package org.lovagerack.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.DeploymentCodec;
import org.lovagerack.notes.NoteFollower;

/** Reports the deployment that is in force on this entry VM and on all others. */
public final class InForceReport {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final String address;
  private final String failureDomain;
  private final NoteFollower notes;
  private final BooleanSupplier draining;

  /**
   * Creates a report.
   *
   * @param address peer address of this entry VM
   * @param failureDomain its failure domain
   * @param notes source of its deployment
   * @param draining whether it is stopping
   */
  public InForceReport(
      String address, String failureDomain, NoteFollower notes, BooleanSupplier draining) {
    this.address = address;
    this.failureDomain = failureDomain;
    this.notes = notes;
    this.draining = draining;
  }

  /** Returns the revision that is in force on this entry VM. */
  public Answer local() {
    return Answer.json(OK, localNode().toString());
  }

  /**
   * Returns the deployment of this entry VM and the revision of every other one.
   *
   * @param outcomes outcomes of the calls to the other entry VMs, by address
   */
  public Answer merge(Map<String, CallOutcome> outcomes) {
    ObjectNode root = MAPPER.createObjectNode();
    long revision = notes.deployment().map(Deployment::revision).orElse(-1L);
    ArrayNode entryVms = MAPPER.createArrayNode();
    entryVms.add(localNode());
    boolean everywhere = revision >= 0;
    for (Map.Entry<String, CallOutcome> outcome : outcomes.entrySet()) {
      ObjectNode node = describe(outcome.getKey(), outcome.getValue());
      entryVms.add(node);
      everywhere &= node.path("revision").asLong(-1) >= revision;
    }
    root.put("revision", revision);
    root.put("inForceEverywhere", everywhere);
    root.set("entryVms", entryVms);
    notes
        .deployment()
        .ifPresent(
            deployment -> root.set("deployment", readTree(DeploymentCodec.encode(deployment))));
    return Answer.json(OK, root.toString());
  }

  private ObjectNode localNode() {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("address", address);
    node.put("failureDomain", failureDomain);
    node.put("state", draining.getAsBoolean() ? "draining" : "serving");
    Optional<Deployment> deployment = notes.deployment();
    node.put("revision", deployment.map(Deployment::revision).orElse(-1L));
    return node;
  }

  private static ObjectNode describe(String address, CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Answered answered
        && readTree(answered.body().toText()) instanceof ObjectNode node) {
      return node;
    }
    return MAPPER
        .createObjectNode()
        .put("address", address)
        .put("state", "unreachable")
        .put("detail", String.valueOf(outcome));
  }

  private static JsonNode readTree(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return MAPPER.missingNode();
    }
  }
}
