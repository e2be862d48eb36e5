package org.lovagerack.notes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.lovagerack.foundation.error.LovagerackException;

/** JSON form of release notes, as {@code docs/release-notes.md} describes it. */
public final class NoteCodec {

  /** One less than the largest revision that has 12 digits. */
  static final long MAX_BASE_REVISION = 999_999_999_998L;

  private NoteCodec() {}

  /**
   * Reads a release note.
   *
   * @throws LovagerackException with {@code NOTE_INVALID} and every problem, each with its JSON
   *     path and the offending value
   */
  public static ReleaseNote decode(String json) throws LovagerackException {
    return DefinitionJson.readDocument(json, NoteCodec::read);
  }

  /** Writes a release note; {@link #decode} returns an equal one. */
  public static String encode(ReleaseNote note) {
    return DefinitionJson.write(toJson(note));
  }

  static ReleaseNote read(JsonFields fields) {
    return new ReleaseNote(
        fields.name("noteId"),
        fields.integer("baseRevision", 0, MAX_BASE_REVISION),
        fields.object("added", DefinitionJson::readChanges, ChangeSet.empty()),
        fields.object("changed", DefinitionJson::readChanges, ChangeSet.empty()),
        fields.object("withdrawn", NoteCodec::readWithdrawals, Withdrawals.none()));
  }

  static JsonNode toJson(ReleaseNote note) {
    ObjectNode root = DefinitionJson.MAPPER.createObjectNode();
    root.put("noteId", note.noteId()).put("baseRevision", note.baseRevision());
    writeChanges(root.putObject("added"), note.added());
    writeChanges(root.putObject("changed"), note.changed());
    ObjectNode withdrawn = root.putObject("withdrawn");
    writeNames(withdrawn.putArray("services"), note.withdrawn().services());
    writeNames(withdrawn.putArray("upstreams"), note.withdrawn().upstreams());
    writeNames(withdrawn.putArray("teams"), note.withdrawn().teams());
    return root;
  }

  private static Withdrawals readWithdrawals(JsonFields fields) {
    return new Withdrawals(
        fields.names("services"), fields.addresses("upstreams"), fields.names("teams"));
  }

  private static void writeChanges(ObjectNode target, ChangeSet changes) {
    DefinitionJson.writeChanges(target, changes.services(), changes.upstreams(), changes.teams());
  }

  private static void writeNames(ArrayNode target, List<String> names) {
    names.forEach(target::add);
  }
}
