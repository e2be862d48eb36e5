package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.notes.NoteCodec;
import org.lovagerack.notes.ReleaseNote;
import org.lovagerack.settings.Settings;
import org.lovagerack.settings.SettingsLoader;

/** Subcommands that check files without calling an entry VM. */
final class CheckCommands {

  private CheckCommands() {}

  static Result settings(Namespace options) throws LovagerackException {
    Settings settings = new SettingsLoader().load(InputFile.path(options));
    return Result.of(
        "valid settings of an entry VM in %s, %s%n"
            .formatted(settings.region(), settings.failureDomain()),
        Json.object()
            .put("valid", true)
            .put("region", settings.region())
            .put("failureDomain", settings.failureDomain()));
  }

  static Result note(Namespace options) throws LovagerackException {
    ReleaseNote note = NoteCodec.decode(InputFile.read(options));
    return Result.of(
        "valid release note %s for revision %d%n".formatted(note.noteId(), note.baseRevision() + 1),
        Json.object()
            .put("valid", true)
            .put("noteId", note.noteId())
            .put("baseRevision", note.baseRevision()));
  }
}
