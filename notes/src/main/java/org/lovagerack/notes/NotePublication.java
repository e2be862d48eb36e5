package org.lovagerack.notes;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.notes.NoteTable.Head;
import org.lovagerack.notes.NoteTable.NoteRow;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.PlatformException;

/**
 * One call to publish a note. After a lost answer the entire attempt is repeated. This is safe
 * because the transaction requires that the row of the revision does not exist, so at most one of
 * several commits of the same note at the same revision succeeds.
 */
final class NotePublication {

  private static final int MAX_ATTEMPTS = 6;

  /** Backoff before the second attempt. It doubles up to 1.6 s; all pauses together take 3.1 s. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

  private final TimerService timer;
  private final NoteTable table;
  private final NoteFollower follower;
  private final SnapshotWriter snapshots;
  private final EventLog log;
  private final ReleaseNote note;
  private final CompletableFuture<Publication> result = new CompletableFuture<>();
  private int attempts;

  /** Whether a transaction of this call may have been applied or may still be applied. */
  private boolean mayBeApplied;

  NotePublication(
      TimerService timer,
      NoteTable table,
      NoteFollower follower,
      SnapshotWriter snapshots,
      EventLog log,
      ReleaseNote note) {
    this.timer = timer;
    this.table = table;
    this.follower = follower;
    this.snapshots = snapshots;
    this.log = log;
    this.note = note;
  }

  CompletionStage<Publication> result() {
    return result.minimalCompletionStage();
  }

  void start() {
    attempts++;
    CallWithTimeout.await(
        timer,
        CALL_TIMEOUT,
        table::readHead,
        this::onHead,
        failure -> retry("the head cannot be read: " + failure.getMessage()));
  }

  private void onHead(Head head) {
    long applied = follower.deployment().map(Deployment::revision).orElse(0L);
    if (head.revision() < applied || (mayBeApplied && note.baseRevision() > head.revision())) {
      retry("the head that was read is older than the revision in force");
    } else if (note.baseRevision() > head.revision()) {
      conflict("base revision " + note.baseRevision() + " is ahead", head.revision());
    } else if (note.baseRevision() < head.revision()) {
      searchAcceptedNotes(note.baseRevision(), head.revision());
    } else {
      checkAndCommit(head);
    }
  }

  /** Searches the accepted notes after a revision for the identifier of the note. */
  private void searchAcceptedNotes(long after, long headRevision) {
    CallWithTimeout.await(
        timer,
        CALL_TIMEOUT,
        () -> table.readAfter(after),
        rows -> onRows(rows, after, headRevision),
        failure -> retry("the notes cannot be read: " + failure.getMessage()));
  }

  private void onRows(List<NoteRow> rows, long after, long headRevision) {
    if (rows.isEmpty() || rows.getFirst().revision() != after + 1) {
      retry("the note of revision " + (after + 1) + " is missing");
      return;
    }
    for (NoteRow row : rows) {
      try {
        ReleaseNote accepted = row.note();
        if (accepted.noteId().equals(note.noteId())) {
          compareContents(accepted, row.revision());
          return;
        }
      } catch (LovagerackException e) {
        retry("the note of revision " + row.revision() + " cannot be read: " + e.getMessage());
        return;
      }
    }
    long last = rows.getLast().revision();
    if (last < headRevision) {
      searchAcceptedNotes(last, headRevision);
    } else {
      conflict("base revision " + note.baseRevision() + " is no longer in force", last);
    }
  }

  private void compareContents(ReleaseNote accepted, long revision) {
    boolean same =
        accepted.added().equals(note.added())
            && accepted.changed().equals(note.changed())
            && accepted.withdrawn().equals(note.withdrawn());
    if (same) {
      accept(accepted, revision, !mayBeApplied);
    } else {
      conflict("note id " + note.noteId() + " belongs to another note", revision);
    }
  }

  /** Checks the note against the deployment at its base revision, then commits it. */
  private void checkAndCommit(Head head) {
    Optional<Deployment> deployment = follower.deployment();
    if (deployment.isEmpty() || deployment.get().revision() < head.revision()) {
      follower.pollNow();
      retry("this entry VM has not yet applied revision " + head.revision());
      return;
    }
    Optional<Long> earlier = follower.revisionOf(note.noteId());
    if (earlier.isPresent()) {
      compareContents(follower.retained(earlier.get()), earlier.get());
      return;
    }
    try {
      commit(head, deployment.get().apply(note));
    } catch (LovagerackException e) {
      fail(e);
    }
  }

  private void commit(Head head, Deployment next) {
    CallWithTimeout.await(
        timer,
        CALL_TIMEOUT,
        () -> table.commitNote(head, note),
        committed -> {
          if (committed == CommitResult.COMMITTED) {
            accept(note, next.revision(), false);
            snapshots.writeIfDue(head, next);
          } else {
            retry("the transaction conflicted with another one");
          }
        },
        this::onCommitFailure);
  }

  private void onCommitFailure(Throwable failure) {
    boolean notApplied =
        failure instanceof PlatformException platform
            && platform.effect() == PlatformException.Effect.NOT_APPLIED;
    if (notApplied) {
      retry("the transaction was not applied: " + failure.getMessage());
    } else {
      mayBeApplied = true;
      retry("the answer to the transaction was lost: " + failure.getMessage());
    }
  }

  private void retry(String reason) {
    if (attempts < MAX_ATTEMPTS) {
      timer.after(INITIAL_BACKOFF.multipliedBy(1L << (attempts - 1)), this::start);
    } else if (mayBeApplied) {
      fail(
          new LovagerackException(
              Failure.mayHaveRun(
                  ErrorKind.PUBLISH_UNKNOWN, "note " + note.noteId() + ": " + reason)));
    } else {
      fail(ErrorKind.PLATFORM_UNAVAILABLE, "note " + note.noteId() + ": " + reason);
    }
  }

  private void accept(ReleaseNote accepted, long revision, boolean repeated) {
    log.write(LogEvent.NOTE_PUBLISHED, "revision", revision, "noteId", note.noteId());
    result.complete(new Publication(revision, repeated));
    follower.published(revision, accepted);
  }

  private void conflict(String reason, long revisionInForce) {
    fail(
        ErrorKind.NOTE_CONFLICT,
        "note " + note.noteId() + ": " + reason + ", revision " + revisionInForce + " is in force");
  }

  private void fail(ErrorKind kind, String detail) {
    fail(new LovagerackException(Failure.notRun(kind, detail)));
  }

  private void fail(LovagerackException failure) {
    log.write(LogEvent.NOTE_REJECTED, "noteId", note.noteId(), "detail", failure.getMessage());
    result.completeExceptionally(failure);
  }
}
