package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.NotesCall;
import org.lovagerack.notes.CatchUp;
import org.lovagerack.notes.CatchUpCodec;
import org.lovagerack.notes.NoteSource;

/** Requests release notes from the live peers of the same failure domain. */
public final class PeerNoteSource implements NoteSource {

  private static final EventLog LOG = new EventLog(PeerNoteSource.class);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final EntryVmDirectory directory;
  private final PeerBroadcast broadcast;

  public PeerNoteSource(EntryVmDirectory directory, PeerBroadcast broadcast) {
    this.directory = directory;
    this.broadcast = broadcast;
  }

  @Override
  public CompletionStage<List<CatchUp>> catchUpAfter(long revision) {
    CompletableFuture<List<CatchUp>> result = new CompletableFuture<>();
    CallRequest request =
        CallRequest.newBuilder()
            .setNotes(NotesCall.newBuilder().setAfterRevision(revision))
            .build();
    broadcast.callAll(
        directory.livePeers(),
        request,
        CALL_TIMEOUT,
        outcomes -> result.complete(decode(outcomes.values())));
    return result;
  }

  private static List<CatchUp> decode(Collection<CallOutcome> outcomes) {
    List<CatchUp> answers = new ArrayList<>();
    for (CallOutcome outcome : outcomes) {
      if (outcome instanceof CallOutcome.Answered answered) {
        try {
          answers.add(CatchUpCodec.decode(answered.body().toText()));
        } catch (LovagerackException e) {
          LOG.write(LogEvent.NOTE_REJECTED, "detail", e.failure().detail());
        }
      }
    }
    return answers;
  }
}
