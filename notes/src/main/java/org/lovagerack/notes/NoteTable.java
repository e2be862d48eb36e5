package org.lovagerack.notes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.Condition;
import org.lovagerack.platform.Row;
import org.lovagerack.platform.TableService;
import org.lovagerack.platform.Transaction;
import org.lovagerack.platform.Write;

/** Rows of the table service that hold release notes. */
final class NoteTable {

  /** Maximum number of rows that one scan reads. */
  static final int SCAN_LIMIT = 64;

  private static final String KEY_PREFIX = "notes/";
  private static final String HEAD_KEY = KEY_PREFIX + "head";

  private final TableService table;

  NoteTable(TableService table) {
    this.table = table;
  }

  /**
   * The head row.
   *
   * @param version version of the row; 0 if it does not exist yet
   * @param revision revision of the newest note
   * @param snapshot revision of the newest snapshot; 0 if there is none
   */
  record Head(long version, long revision, long snapshot) {}

  /** A row with a note. The JSON text is not validated. */
  record NoteRow(long revision, String json) {

    ReleaseNote note() throws LovagerackException {
      return NoteCodec.decode(json);
    }
  }

  CompletionStage<Head> readHead() {
    return table.read(HEAD_KEY).thenApply(NoteTable::head);
  }

  /** Reads up to {@link #SCAN_LIMIT} notes of the revisions after {@code revision}, in order. */
  CompletionStage<List<NoteRow>> readAfter(long revision) {
    return table.scan(KEY_PREFIX, key(revision), SCAN_LIMIT).thenApply(NoteTable::noteRows);
  }

  /** Commits a note as the revision after {@code head}. */
  CompletionStage<CommitResult> commitNote(Head head, ReleaseNote note) {
    long revision = head.revision() + 1;
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD_KEY, head.version()), new Condition(key(revision), 0)),
            List.of(
                new Write(HEAD_KEY, headJson(revision, head.snapshot())),
                new Write(key(revision), NoteCodec.encode(note)))));
  }

  /** Records in the head that a snapshot was written. */
  CompletionStage<CommitResult> commitSnapshot(Head head, long snapshot) {
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD_KEY, head.version())),
            List.of(new Write(HEAD_KEY, headJson(head.revision(), snapshot)))));
  }

  static String snapshotName(long revision) {
    return "deployments/" + revision;
  }

  private static String key(long revision) {
    return KEY_PREFIX + String.format(Locale.ROOT, "%012d", revision);
  }

  private static String headJson(long revision, long snapshot) {
    return DefinitionJson.write(
        DefinitionJson.MAPPER
            .createObjectNode()
            .put("revision", revision)
            .put("snapshot", snapshot));
  }

  private static Head head(Optional<Row> row) {
    if (row.isEmpty()) {
      return new Head(0, 0, 0);
    }
    long version = row.get().version();
    try {
      return DefinitionJson.readDocument(
          row.get().value(),
          fields ->
              new Head(
                  version,
                  fields.integer("revision", 0, NoteCodec.MAX_BASE_REVISION + 1),
                  fields.integer("snapshot", 0, NoteCodec.MAX_BASE_REVISION + 1)));
    } catch (LovagerackException e) {
      throw new IllegalStateException("row " + HEAD_KEY + " cannot be read", e);
    }
  }

  private static List<NoteRow> noteRows(List<Row> rows) {
    List<NoteRow> notes = new ArrayList<>();
    for (Row row : rows) {
      String suffix = row.key().substring(KEY_PREFIX.length());
      if (suffix.matches("[0-9]{12}")) {
        notes.add(new NoteRow(Long.parseLong(suffix), row.value()));
      }
    }
    return notes;
  }
}
