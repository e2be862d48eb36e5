package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.notes.NoteSimulation.Vm;

/** Guards against wrong answers to single publish calls of an operator. */
final class NotePublisherTest {

  private final NoteSimulation simulation = new NoteSimulation(2, 2);
  private final Vm vm = simulation.vms.get(0);
  private final Vm other = simulation.vms.get(1);
  private final ReleaseNote first =
      Samples.adding("first", 0, List.of(Samples.service("riser")), Samples.upstream(1, 8));
  private final ReleaseNote second = Samples.changing("second", 1, Samples.upstream(1, 4));

  @BeforeEach
  void start() {
    advance(5);
  }

  private void advance(int seconds) {
    simulation.timer.advance(Duration.ofSeconds(seconds));
  }

  /** Publishes a note and returns the publication or the kind of the failure. */
  private Object publish(Vm publisher, ReleaseNote note) {
    CompletableFuture<Object> outcome = new CompletableFuture<>();
    var unused =
        publisher
            .publisher
            .publish(note)
            .whenComplete(
                (publication, failure) ->
                    outcome.complete(failure == null ? publication : NoteSimulation.kind(failure)));
    advance(60);
    return outcome.getNow(null);
  }

  @Test
  void returnsRevisionOfRepeatedNoteOnEveryVm() {
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(publish(vm, second)).isEqualTo(new Publication(2, false));

    assertThat(publish(vm, first)).isEqualTo(new Publication(1, true));
    assertThat(publish(other, first)).isEqualTo(new Publication(1, true));
    assertThat(simulation.platform.notes()).hasSize(2);
  }

  /** A repeated note with a new base revision must not be applied twice. */
  @Test
  void recognizesRetainedNoteWithNewBaseRevision() {
    ReleaseNote change = Samples.changing("second", 2, Samples.upstream(1, 4));
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(publish(vm, second)).isEqualTo(new Publication(2, false));

    assertThat(publish(other, change)).isEqualTo(new Publication(2, true));
    assertThat(publish(other, Samples.changing("second", 2, Samples.upstream(1, 5))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void rejectsIdentifierOfAnotherNote() {
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));

    assertThat(publish(vm, Samples.adding("first", 0, List.of(Samples.service("other")))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void rejectsBaseRevisionThatIsNotInForce() {
    assertThat(publish(vm, Samples.adding("ahead", 5, List.of(Samples.service("riser")))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void rejectsContradictionWithoutWriting() {
    assertThat(publish(vm, Samples.changing("wrong", 0, Samples.upstream(1, 4))))
        .isEqualTo(ErrorKind.NOTE_INVALID);
    assertThat(simulation.platform.rows).isEmpty();
  }

  @Test
  void findsAcceptedNoteInTableAfterLostAnswer() {
    simulation.platform.answersToLose = 1;

    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(vm.revision()).isEqualTo(1);
  }

  /** "Unavailable" would be wrong here because the transaction may have been applied. */
  @Test
  void reportsUnknownIfTableCannotBeReadAfterLostAnswer() {
    simulation.platform.answersToLose = 1;
    CompletableFuture<ErrorKind> outcome = new CompletableFuture<>();
    var unused =
        vm.publisher
            .publish(first)
            .whenComplete((value, failure) -> outcome.complete(NoteSimulation.kind(failure)));
    simulation.timer.advance(Duration.ofMillis(100));
    vm.setPlatformReachable(false);
    advance(60);

    assertThat(outcome).isCompletedWithValue(ErrorKind.PUBLISH_UNKNOWN);
  }

  @Test
  void reportsUnavailableIfNothingWasSent() {
    simulation.platform.unavailable = true;

    assertThat(publish(vm, first)).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    simulation.platform.unavailable = false;
    advance(60);
    assertThat(simulation.platform.rows).isEmpty();
  }
}
