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

  /** Rows that are read by one scan. */
  static final int BATCH = 64;

  private static final String PREFIX = "notes/";
  private static final String HEAD = PREFIX + "head";

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

  /** A row with a note, which may not be readable. */
  record NoteRow(long revision, String json) {

    ReleaseNote note() throws LovagerackException {
      return NoteCodec.decode(json);
    }
  }

  CompletionStage<Head> readHead() {
    return table.read(HEAD).thenApply(NoteTable::head);
  }

  /** Reads up to {@link #BATCH} notes of the revisions after {@code revision}, in order. */
  CompletionStage<List<NoteRow>> readAfter(long revision) {
    return table.scan(PREFIX, key(revision), BATCH).thenApply(NoteTable::noteRows);
  }

  /** Commits a note as the revision after {@code head}. */
  CompletionStage<CommitResult> commitNote(Head head, ReleaseNote note) {
    long revision = head.revision() + 1;
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD, head.version()), new Condition(key(revision), 0)),
            List.of(
                new Write(HEAD, headJson(revision, head.snapshot())),
                new Write(key(revision), NoteCodec.encode(note)))));
  }

  /** Records in the head that a snapshot was written. */
  CompletionStage<CommitResult> commitSnapshot(Head head, long snapshot) {
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD, head.version())),
            List.of(new Write(HEAD, headJson(head.revision(), snapshot)))));
  }

  static String snapshotName(long revision) {
    return "deployments/" + revision;
  }

  private static String key(long revision) {
    return PREFIX + String.format(Locale.ROOT, "%012d", revision);
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
                  fields.integer("revision", 0, NoteCodec.LARGEST_BASE_REVISION + 1),
                  fields.integer("snapshot", 0, NoteCodec.LARGEST_BASE_REVISION + 1)));
    } catch (LovagerackException e) {
      throw new IllegalStateException("row " + HEAD + " cannot be read", e);
    }
  }

  private static List<NoteRow> noteRows(List<Row> rows) {
    List<NoteRow> notes = new ArrayList<>();
    for (Row row : rows) {
      String suffix = row.key().substring(PREFIX.length());
      if (suffix.matches("[0-9]{12}")) {
        notes.add(new NoteRow(Long.parseLong(suffix), row.value()));
      }
    }
    return notes;
  }
}
