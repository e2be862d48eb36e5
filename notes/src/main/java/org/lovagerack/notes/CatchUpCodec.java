package org.lovagerack.notes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.lovagerack.foundation.error.LovagerackException;

/** JSON form of {@link CatchUp} for the peer protocol. */
public final class CatchUpCodec {

  private CatchUpCodec() {}

  /** Writes a catch-up; {@link #decode} returns an equal one. */
  public static String encode(CatchUp catchUp) {
    ObjectNode root = DefinitionJson.MAPPER.createObjectNode();
    catchUp
        .deployment()
        .ifPresent(deployment -> root.set("deployment", DeploymentCodec.toJson(deployment)));
    ArrayNode notes = root.putArray("notes");
    catchUp.notes().forEach(note -> notes.add(NoteCodec.toJson(note)));
    return DefinitionJson.write(root);
  }

  /**
   * Reads a catch-up.
   *
   * @throws LovagerackException with {@code NOTE_INVALID} and every problem
   */
  public static CatchUp decode(String json) throws LovagerackException {
    return DefinitionJson.readDocument(
        json,
        fields ->
            new CatchUp(
                fields.object(
                    "deployment",
                    deployment -> Optional.of(DeploymentCodec.read(deployment)),
                    Optional.empty()),
                fields.objects("notes", NoteCodec::read)));
  }
}
