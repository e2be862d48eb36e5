package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.lovagerack.notes.NoteSimulation.Vm;

/**
 * Guards against lost, doubled, reordered and reverted notes, and against false verdicts of
 * publishers, under races, restarts, outages, lost and late answers, and peers that are behind.
 */
final class NoteStatefulTest {

  private static final int VMS = 4;

  enum Kind {
    PUBLISH,
    PUBLISH_AT_TWO,
    REPUBLISH,
    RESTART,
    CUT_PLATFORM,
    HEAL_PLATFORM,
    CUT_PEERS,
    HEAL_PEERS,
    TOGGLE_DOWN,
    TOGGLE_SLOW,
    TOGGLE_STALE_HEADS,
    LOSE_ANSWERS,
    PUSH_OLD,
    PUSH_FORGED,
    WAIT
  }

  record Step(Kind kind, int vm, int choice) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, VMS - 1),
            Arbitraries.integers().between(0, 15))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(80);
  }

  @Tag("fuzz")
  @Property(tries = 5_000, shrinking = ShrinkingMode.BOUNDED)
  void everyVerdictIsTrueForRandomSeeds(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(max = 140) int earlierNotes,
      @ForAll boolean platformHeals,
      @ForAll long seed) {
    everyFollowerReachesEveryAcceptedNoteAndNoVerdictIsFalse(
        steps, earlierNotes, platformHeals, seed);
  }

  @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void everyFollowerReachesEveryAcceptedNoteAndNoVerdictIsFalse(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(max = 140) int earlierNotes,
      @ForAll boolean platformHeals,
      @ForAll long seed) {
    NoteSimulation simulation = new NoteSimulation(seed, VMS);
    for (int i = 0; i < earlierNotes; i++) {
      simulation.publishNew(simulation.vms.getFirst(), i % 16);
      simulation.timer.advance(Duration.ofMillis(200));
    }

    steps.forEach(step -> run(simulation, step));
    heal(simulation, platformHeals);
    simulation.finishPublishing();
    simulation.resolveUnknown();
    simulation.timer.advance(Duration.ofSeconds(60));

    simulation.checkVerdicts();
    assertThat(simulation.vms).extracting(Vm::revision).containsOnly(simulation.head());
  }

  private static void run(NoteSimulation simulation, Step step) {
    Vm vm = simulation.vms.get(step.vm());
    switch (step.kind()) {
      case PUBLISH -> simulation.publishNew(vm, step.choice());
      case PUBLISH_AT_TWO -> {
        simulation.publishNew(vm, step.choice());
        simulation.publishNew(simulation.vms.get((step.vm() + 1) % VMS), step.choice() / 2);
      }
      case REPUBLISH -> simulation.republish(vm, step.choice());
      case RESTART -> vm.start();
      case CUT_PLATFORM -> vm.setPlatformReachable(false);
      case HEAL_PLATFORM -> vm.setPlatformReachable(true);
      case CUT_PEERS -> vm.peersReachable = false;
      case HEAL_PEERS -> vm.peersReachable = true;
      case TOGGLE_DOWN -> simulation.platform.down = !simulation.platform.down;
      case TOGGLE_SLOW -> simulation.platform.slow = !simulation.platform.slow;
      case TOGGLE_STALE_HEADS -> vm.followerView.staleHeads = !vm.followerView.staleHeads;
      case LOSE_ANSWERS -> simulation.platform.answersToLose = step.choice() % 4;
      case PUSH_OLD -> pushOld(simulation, vm, step.choice());
      case PUSH_FORGED -> pushForged(vm, step.choice());
      case WAIT -> simulation.timer.advance(Duration.ofMillis(step.choice() * 400L));
    }
    simulation.timer.advance(Duration.ofMillis(step.choice() * 20L));
  }

  private static void pushOld(NoteSimulation simulation, Vm vm, int choice) {
    long revision = simulation.head() - choice;
    if (revision > 0) {
      vm.follower.offer(revision, simulation.noteAt(revision));
    }
  }

  /** Pushes another note at a revision that is applied already. */
  private static void pushForged(Vm vm, int choice) {
    long revision = vm.revision() - choice % 3;
    if (revision > 0) {
      vm.follower.offer(
          revision, Samples.adding("forged", revision - 1, List.of(), Samples.upstream(999, 8)));
    }
  }

  /** Ends the faults: either the platform is back for all, or only the last VM reaches it. */
  private static void heal(NoteSimulation simulation, boolean platformHeals) {
    simulation.platform.down = false;
    simulation.platform.slow = false;
    simulation.platform.answersToLose = 0;
    for (Vm vm : simulation.vms) {
      vm.followerView.staleHeads = false;
      vm.setPlatformReachable(platformHeals || vm == simulation.vms.getLast());
      vm.peersReachable = !platformHeals;
    }
  }
}
