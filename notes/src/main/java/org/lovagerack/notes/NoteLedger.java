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
 * The deployment that one process has reached, with the last notes that led to it and with notes
 * that arrived too early. Its revision never decreases.
 */
final class NoteLedger {

  /** What became of a note. */
  enum Result {
    APPLIED,
    /** Its revision has been applied before, or it cannot be applied. */
    IGNORED,
    /** Notes of lower revisions are missing. */
    TOO_EARLY
  }

  private static final int RETAINED_NOTES = 256;
  private static final int LARGEST_WAITING = 256;

  private final EventLog log;
  private final TreeMap<Long, ReleaseNote> applied = new TreeMap<>();
  private final TreeMap<Long, ReleaseNote> waiting = new TreeMap<>();
  private Deployment deployment;

  NoteLedger(EventLog log) {
    this.log = log;
  }

  Optional<Deployment> deployment() {
    return Optional.ofNullable(deployment);
  }

  /** Returns the applied revision; -1 if there is no deployment. */
  long revision() {
    return deployment == null ? -1 : deployment.revision();
  }

  /** Takes over a whole deployment; returns false and does nothing if it is not newer. */
  boolean take(Deployment newer) {
    if (newer.revision() <= revision()) {
      log.write(LogEvent.NOTE_STALE_IGNORED, "revision", newer.revision(), "applied", revision());
      return false;
    }
    deployment = newer;
    applied.clear();
    waiting.headMap(newer.revision(), true).clear();
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
      keepWaiting(revision, note);
      return Result.TOO_EARLY;
    }
    return applyNext(revision, note) ? Result.APPLIED : Result.IGNORED;
  }

  /** Removes and returns a note that arrived early and is the next one now. */
  Optional<ReleaseNote> takeWaiting() {
    return deployment == null
        ? Optional.empty()
        : Optional.ofNullable(waiting.remove(revision() + 1));
  }

  /** Returns what brings a peer with an applied revision up to date. */
  CatchUp after(long revision) {
    if (deployment == null || revision >= revision()) {
      return new CatchUp(Optional.empty(), List.of());
    }
    if (revision >= 0 && applied.containsKey(revision + 1)) {
      return new CatchUp(
          Optional.empty(), new ArrayList<>(applied.tailMap(revision, false).values()));
    }
    return new CatchUp(Optional.of(deployment), List.of());
  }

  /** Returns the applied revision of a retained note with this identifier. */
  Optional<Long> revisionOf(String noteId) {
    return applied.entrySet().stream()
        .filter(entry -> entry.getValue().noteId().equals(noteId))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns a retained note. */
  ReleaseNote applied(long revision) {
    return applied.get(revision);
  }

  private boolean applyNext(long revision, ReleaseNote note) {
    try {
      deployment = deployment.apply(note);
    } catch (LovagerackException e) {
      log.write(LogEvent.NOTE_REJECTED, "revision", revision, "detail", e.failure().detail());
      return false;
    }
    applied.put(revision, note);
    if (applied.size() > RETAINED_NOTES) {
      applied.pollFirstEntry();
    }
    // A waiting note of this revision has been overtaken; it matters only if it differs.
    ReleaseNote overtaken = waiting.remove(revision);
    if (overtaken != null) {
      compareWithApplied(revision, overtaken);
    }
    log.write(LogEvent.NOTE_APPLIED, "revision", revision, "noteId", note.noteId());
    return true;
  }

  private void compareWithApplied(long revision, ReleaseNote note) {
    ReleaseNote known = applied.get(revision);
    if (known == null || known.equals(note)) {
      log.write(LogEvent.NOTE_STALE_IGNORED, "revision", revision, "applied", revision());
    } else {
      logConflict(revision, known, note);
    }
  }

  private void keepWaiting(long revision, ReleaseNote note) {
    ReleaseNote known = waiting.putIfAbsent(revision, note);
    if (known != null && !known.equals(note)) {
      logConflict(revision, known, note);
    }
    if (waiting.size() > LARGEST_WAITING) {
      waiting.pollLastEntry();
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
