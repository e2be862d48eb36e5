package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.notes.NoteSimulation.Vm;

/** Guards the answers that an operator gets to single calls. */
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
    CompletableFuture<Object> told = new CompletableFuture<>();
    var unused =
        publisher
            .publisher
            .publish(note)
            .whenComplete(
                (publication, failure) ->
                    told.complete(failure == null ? publication : NoteSimulation.kind(failure)));
    advance(60);
    return told.getNow(null);
  }

  @Test
  void answersARepeatedNoteWithItsRevisionOnEveryVm() {
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(publish(vm, second)).isEqualTo(new Publication(2, false));

    assertThat(publish(vm, first)).isEqualTo(new Publication(1, true));
    assertThat(publish(other, first)).isEqualTo(new Publication(1, true));
    assertThat(simulation.platform.notes()).hasSize(2);
  }

  /** A repeated note with a new base must not be applied a second time. */
  @Test
  void recognizesARetainedNoteUnderANewBase() {
    ReleaseNote change = Samples.changing("second", 2, Samples.upstream(1, 4));
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(publish(vm, second)).isEqualTo(new Publication(2, false));

    assertThat(publish(other, change)).isEqualTo(new Publication(2, true));
    assertThat(publish(other, Samples.changing("second", 2, Samples.upstream(1, 5))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void refusesAnIdentifierThatBelongsToAnotherNote() {
    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));

    assertThat(publish(vm, Samples.adding("first", 0, List.of(Samples.service("other")))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void refusesABaseThatIsNotInForce() {
    assertThat(publish(vm, Samples.adding("ahead", 5, List.of(Samples.service("riser")))))
        .isEqualTo(ErrorKind.NOTE_CONFLICT);
  }

  @Test
  void refusesAContradictionWithoutWriting() {
    assertThat(publish(vm, Samples.changing("wrong", 0, Samples.upstream(1, 4))))
        .isEqualTo(ErrorKind.NOTE_INVALID);
    assertThat(simulation.platform.rows).isEmpty();
  }

  @Test
  void learnsFromTheTableThatALostAnswerMeantAcceptance() {
    simulation.platform.answersToLose = 1;

    assertThat(publish(vm, first)).isEqualTo(new Publication(1, false));
    assertThat(vm.revision()).isEqualTo(1);
  }

  /** "Unavailable" would be false here: the transaction may have been made. */
  @Test
  void saysUnknownIfTheTableCannotBeReadAfterALostAnswer() {
    simulation.platform.answersToLose = 1;
    CompletableFuture<ErrorKind> told = new CompletableFuture<>();
    var unused =
        vm.publisher
            .publish(first)
            .whenComplete((value, failure) -> told.complete(NoteSimulation.kind(failure)));
    simulation.timer.advance(Duration.ofMillis(100));
    vm.setPlatformReachable(false);
    advance(60);

    assertThat(told).isCompletedWithValue(ErrorKind.PUBLISH_UNKNOWN);
  }

  @Test
  void saysUnavailableIfNothingWasSent() {
    simulation.platform.down = true;

    assertThat(publish(vm, first)).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    simulation.platform.down = false;
    advance(60);
    assertThat(simulation.platform.rows).isEmpty();
  }
}
