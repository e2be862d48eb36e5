package org.lovagerack.notes;

import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.ObjectStore;
import org.lovagerack.platform.TableService;

/** Publishes release notes. All methods must be called on one event loop. */
public final class NotePublisher {

  private final TimerService timer;
  private final NoteTable table;
  private final NoteFollower follower;
  private final SnapshotWriter snapshots;
  private final EventLog log = new EventLog(NotePublisher.class);

  /**
   * Creates a publisher.
   *
   * @param follower follower of the same process; notes are checked against its deployment
   */
  public NotePublisher(
      TimerService timer, TableService table, ObjectStore objects, NoteFollower follower) {
    this.timer = timer;
    this.table = new NoteTable(table);
    this.follower = follower;
    this.snapshots = new SnapshotWriter(this.table, objects, log);
  }

  /**
   * Publishes a note. Publishing the same note again returns the revision at which it was accepted.
   * The stage fails with a {@link org.lovagerack.foundation.error.LovagerackException}:
   *
   * <ul>
   *   <li>{@code NOTE_INVALID}: the note contradicts the deployment at its base revision. It was
   *       not accepted.
   *   <li>{@code NOTE_CONFLICT}: the base revision is not in force, or the identifier belongs to
   *       another note. The note was not accepted; publishing it unchanged cannot succeed.
   *   <li>{@code PLATFORM_UNAVAILABLE}: this call did not publish the note.
   *   <li>{@code PUBLISH_UNKNOWN}: the note may have been accepted or may still be. Publish it
   *       again unchanged to determine the outcome.
   * </ul>
   */
  public CompletionStage<Publication> publish(ReleaseNote note) {
    NotePublication publication = new NotePublication(timer, table, follower, snapshots, log, note);
    publication.start();
    return publication.result();
  }
}
