package org.lovagerack.notes;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.notes.NoteTable.Head;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.ObjectStore;

/** Writes snapshots of accepted deployments and records them in the head row. */
final class SnapshotWriter {

  private static final long REVISIONS_PER_SNAPSHOT = 64;
  private static final int MAX_ATTEMPTS = 5;

  private final NoteTable table;
  private final ObjectStore objects;
  private final EventLog log;

  SnapshotWriter(NoteTable table, ObjectStore objects, EventLog log) {
    this.table = table;
    this.objects = objects;
    this.log = log;
  }

  /**
   * Writes a snapshot if the newest one is too old. Must be called only for accepted deployments,
   * because snapshots of the same revision share one name and overwrite each other.
   */
  void writeIfDue(Head previous, Deployment deployment) {
    if (deployment.revision() - previous.snapshot() < REVISIONS_PER_SNAPSHOT) {
      return;
    }
    long revision = deployment.revision();
    String name = NoteTable.snapshotName(revision);
    logOutcome(
        revision,
        objects
            .put(name, DeploymentCodec.encode(deployment))
            .thenCompose(ignored -> recordInHead(revision, MAX_ATTEMPTS)));
  }

  private CompletionStage<CommitResult> recordInHead(long revision, int attempts) {
    return table
        .readHead()
        .thenCompose(
            head -> {
              if (head.snapshot() >= revision) {
                return CompletableFuture.completedStage(CommitResult.COMMITTED);
              }
              return table
                  .commitSnapshot(head, revision)
                  .thenCompose(result -> retryOnConflict(result, revision, attempts));
            });
  }

  private CompletionStage<CommitResult> retryOnConflict(
      CommitResult result, long revision, int attempts) {
    boolean done = result == CommitResult.COMMITTED || attempts <= 1;
    return done ? CompletableFuture.completedStage(result) : recordInHead(revision, attempts - 1);
  }

  /** Logs the outcome. A failure only slows down starts until the next snapshot is written. */
  private void logOutcome(long revision, CompletionStage<CommitResult> recorded) {
    var unused =
        recorded.whenComplete(
            (result, failure) -> {
              if (failure != null) {
                log.write(LogEvent.SNAPSHOT_FAILED, failure, "revision", revision);
              } else if (result == CommitResult.CONFLICT) {
                log.write(
                    LogEvent.SNAPSHOT_FAILED,
                    "revision",
                    revision,
                    "detail",
                    "the head row changed during every attempt");
              } else {
                log.write(LogEvent.SNAPSHOT_WRITTEN, "revision", revision);
              }
            });
  }
}
