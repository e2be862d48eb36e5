package org.lovagerack.notes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * The current deployment of one process, with the last applied notes and with notes that arrived
 * before their predecessors. The revision never decreases.
 */
final class DeploymentHistory {

  /** Result of applying a note. */
  enum Result {
    APPLIED,
    /** Its revision was already applied, or it cannot be applied. */
    IGNORED,
    /** Notes of lower revisions are missing. */
    TOO_EARLY
  }

  private static final int MAX_RETAINED_NOTES = 256;
  private static final int MAX_EARLY_NOTES = 256;

  private final EventLog log;
  private final TreeMap<Long, ReleaseNote> retainedNotes = new TreeMap<>();
  private final TreeMap<Long, ReleaseNote> earlyNotes = new TreeMap<>();
  private Deployment deployment;

  DeploymentHistory(EventLog log) {
    this.log = log;
  }

  Optional<Deployment> deployment() {
    return Optional.ofNullable(deployment);
  }

  /** Returns the applied revision; -1 if there is no deployment. */
  long revision() {
    return deployment == null ? -1 : deployment.revision();
  }

  /**
   * Replaces the entire deployment. Returns false and does nothing if the given one is not newer.
   */
  boolean replaceDeployment(Deployment newer) {
    if (newer.revision() <= revision()) {
      log.write(LogEvent.NOTE_STALE_IGNORED, "revision", newer.revision(), "applied", revision());
      return false;
    }
    deployment = newer;
    retainedNotes.clear();
    earlyNotes.headMap(newer.revision(), true).clear();
    return true;
  }

  /** Applies a note if it is the next one. */
  Result apply(long revision, ReleaseNote note) {
    if (note.baseRevision() != revision - 1) {
      log.write(
          LogEvent.NOTE_REJECTED,
          "revision",
          revision,
          "detail",
          "base revision is " + note.baseRevision());
      return Result.IGNORED;
    }
    if (revision <= revision()) {
      compareWithApplied(revision, note);
      return Result.IGNORED;
    }
    if (deployment == null || revision > revision() + 1) {
      storeEarlyNote(revision, note);
      return Result.TOO_EARLY;
    }
    return applyNext(revision, note) ? Result.APPLIED : Result.IGNORED;
  }

  /** Removes and returns the note that arrived early and can be applied next, if there is one. */
  Optional<ReleaseNote> removeNextEarlyNote() {
    return deployment == null
        ? Optional.empty()
        : Optional.ofNullable(earlyNotes.remove(revision() + 1));
  }

  /** Returns the data that brings a peer with the given applied revision up to date. */
  CatchUp catchUpAfter(long revision) {
    if (deployment == null || revision >= revision()) {
      return new CatchUp(Optional.empty(), List.of());
    }
    if (revision >= 0 && retainedNotes.containsKey(revision + 1)) {
      return new CatchUp(
          Optional.empty(), new ArrayList<>(retainedNotes.tailMap(revision, false).values()));
    }
    return new CatchUp(Optional.of(deployment), List.of());
  }

  /** Returns the applied revision of a retained note with this identifier. */
  Optional<Long> revisionOf(String noteId) {
    return retainedNotes.entrySet().stream()
        .filter(entry -> entry.getValue().noteId().equals(noteId))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns a retained note. */
  ReleaseNote retained(long revision) {
    return retainedNotes.get(revision);
  }

  private boolean applyNext(long revision, ReleaseNote note) {
    try {
      deployment = deployment.apply(note);
    } catch (LovagerackException e) {
      log.write(LogEvent.NOTE_REJECTED, "revision", revision, "detail", e.failure().detail());
      return false;
    }
    retainedNotes.put(revision, note);
    if (retainedNotes.size() > MAX_RETAINED_NOTES) {
      retainedNotes.pollFirstEntry();
    }
    // An early note of this revision is no longer needed; it is only checked for a conflict.
    ReleaseNote earlyNote = earlyNotes.remove(revision);
    if (earlyNote != null) {
      compareWithApplied(revision, earlyNote);
    }
    log.write(LogEvent.NOTE_APPLIED, "revision", revision, "noteId", note.noteId());
    return true;
  }

  private void compareWithApplied(long revision, ReleaseNote note) {
    ReleaseNote known = retainedNotes.get(revision);
    if (known == null || known.equals(note)) {
      log.write(LogEvent.NOTE_STALE_IGNORED, "revision", revision, "applied", revision());
    } else {
      logConflict(revision, known, note);
    }
  }

  private void storeEarlyNote(long revision, ReleaseNote note) {
    ReleaseNote known = earlyNotes.putIfAbsent(revision, note);
    if (known != null && !known.equals(note)) {
      logConflict(revision, known, note);
    }
    if (earlyNotes.size() > MAX_EARLY_NOTES) {
      earlyNotes.pollLastEntry();
    }
  }

  private void logConflict(long revision, ReleaseNote known, ReleaseNote other) {
    log.write(
        LogEvent.NOTE_CONFLICT_IGNORED,
        "revision",
        revision,
        "noteId",
        known.noteId(),
        "ignoredNoteId",
        other.noteId());
  }
}
