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

/** Asks the live peers of the failure domain for release notes. */
public final class PeerNoteSource implements NoteSource {

  private static final EventLog LOG = new EventLog(PeerNoteSource.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final EntryVmDirectory directory;
  private final PeerSurvey survey;

  public PeerNoteSource(EntryVmDirectory directory, PeerSurvey survey) {
    this.directory = directory;
    this.survey = survey;
  }

  @Override
  public CompletionStage<List<CatchUp>> catchUpAfter(long revision) {
    CompletableFuture<List<CatchUp>> result = new CompletableFuture<>();
    CallRequest request =
        CallRequest.newBuilder()
            .setNotes(NotesCall.newBuilder().setAfterRevision(revision))
            .build();
    survey.ask(
        directory.livePeers(),
        request,
        TIMEOUT,
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
