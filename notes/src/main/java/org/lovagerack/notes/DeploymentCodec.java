package org.lovagerack.notes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.lovagerack.foundation.error.LovagerackException;

/** JSON form of deployments, for snapshots in the object store and for operator queries. */
public final class DeploymentCodec {

  private DeploymentCodec() {}

  /** Writes a deployment. Entries are sorted, so equal deployments have equal JSON texts. */
  public static String encode(Deployment deployment) {
    return DefinitionJson.write(toJson(deployment));
  }

  /**
   * Reads a deployment.
   *
   * @throws LovagerackException with {@code NOTE_INVALID} and every problem
   */
  public static Deployment decode(String json) throws LovagerackException {
    return DefinitionJson.readDocument(json, DeploymentCodec::read);
  }

  static JsonNode toJson(Deployment deployment) {
    ObjectNode root = DefinitionJson.MAPPER.createObjectNode();
    root.put("revision", deployment.revision());
    DefinitionJson.writeChanges(
        root,
        sorted(deployment.services()),
        sorted(deployment.upstreams()),
        sorted(deployment.teams()));
    return root;
  }

  static Deployment read(JsonFields fields) {
    long revision = fields.integer("revision", 0, NoteCodec.MAX_BASE_REVISION + 1);
    ChangeSet contents = DefinitionJson.readChanges(fields);
    return new Deployment(
        revision,
        byName(contents.services(), ServiceDefinition::name),
        byName(contents.upstreams(), UpstreamDefinition::address),
        byName(contents.teams(), TeamQuota::team));
  }

  private static <V> Collection<V> sorted(Map<String, V> map) {
    return new TreeMap<>(map).values();
  }

  private static <V> Map<String, V> byName(List<V> definitions, Function<V, String> name) {
    Map<String, V> map = new HashMap<>();
    definitions.forEach(definition -> map.put(name.apply(definition), definition));
    return map;
  }
}
