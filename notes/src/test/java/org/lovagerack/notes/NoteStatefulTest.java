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
 * Guards against lost, duplicated, reordered and reverted notes and against wrong outcomes reported
 * by publishers. Faults are races, restarts, outages, lost and late answers, and outdated peers.
 */
final class NoteStatefulTest {

  private static final int VMS = 4;

  enum Kind {
    PUBLISH,
    PUBLISH_ON_TWO_VMS,
    REPUBLISH,
    RESTART,
    DISCONNECT_PLATFORM,
    RECONNECT_PLATFORM,
    DISCONNECT_PEERS,
    RECONNECT_PEERS,
    TOGGLE_UNAVAILABLE,
    TOGGLE_SLOW,
    TOGGLE_STALE_HEADS,
    LOSE_ANSWERS,
    PUSH_OLD,
    PUSH_CONFLICTING,
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
  void followersConvergeAndPublishOutcomesAreCorrectForRandomSeeds(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(max = 140) int earlierNotes,
      @ForAll boolean platformRecovers,
      @ForAll long seed) {
    followersConvergeAndPublishOutcomesAreCorrect(steps, earlierNotes, platformRecovers, seed);
  }

  @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void followersConvergeAndPublishOutcomesAreCorrect(
      @ForAll("steps") List<Step> steps,
      @ForAll @IntRange(max = 140) int earlierNotes,
      @ForAll boolean platformRecovers,
      @ForAll long seed) {
    NoteSimulation simulation = new NoteSimulation(seed, VMS);
    for (int i = 0; i < earlierNotes; i++) {
      simulation.publishNew(simulation.vms.getFirst(), i % 16);
      simulation.timer.advance(Duration.ofMillis(200));
    }

    steps.forEach(step -> run(simulation, step));
    endFaults(simulation, platformRecovers);
    simulation.finishPublishing();
    simulation.republishUnknown();
    simulation.timer.advance(Duration.ofSeconds(60));

    simulation.checkOutcomes();
    assertThat(simulation.vms).extracting(Vm::revision).containsOnly(simulation.head());
  }

  private static void run(NoteSimulation simulation, Step step) {
    Vm vm = simulation.vms.get(step.vm());
    switch (step.kind()) {
      case PUBLISH -> simulation.publishNew(vm, step.choice());
      case PUBLISH_ON_TWO_VMS -> {
        simulation.publishNew(vm, step.choice());
        simulation.publishNew(simulation.vms.get((step.vm() + 1) % VMS), step.choice() / 2);
      }
      case REPUBLISH -> simulation.republish(vm, step.choice());
      case RESTART -> vm.start();
      case DISCONNECT_PLATFORM -> vm.setPlatformReachable(false);
      case RECONNECT_PLATFORM -> vm.setPlatformReachable(true);
      case DISCONNECT_PEERS -> vm.peersReachable = false;
      case RECONNECT_PEERS -> vm.peersReachable = true;
      case TOGGLE_UNAVAILABLE -> simulation.platform.unavailable = !simulation.platform.unavailable;
      case TOGGLE_SLOW -> simulation.platform.slow = !simulation.platform.slow;
      case TOGGLE_STALE_HEADS -> vm.followerView.staleHeads = !vm.followerView.staleHeads;
      case LOSE_ANSWERS -> simulation.platform.answersToLose = step.choice() % 4;
      case PUSH_OLD -> pushOld(simulation, vm, step.choice());
      case PUSH_CONFLICTING -> pushConflicting(vm, step.choice());
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

  /** Pushes a different note for a revision that is already applied. */
  private static void pushConflicting(Vm vm, int choice) {
    long revision = vm.revision() - choice % 3;
    if (revision > 0) {
      vm.follower.offer(
          revision,
          Samples.adding("conflicting", revision - 1, List.of(), Samples.upstream(999, 8)));
    }
  }

  /** Ends the faults: either all VMs reach the platform again, or only the last one does. */
  private static void endFaults(NoteSimulation simulation, boolean platformRecovers) {
    simulation.platform.unavailable = false;
    simulation.platform.slow = false;
    simulation.platform.answersToLose = 0;
    for (Vm vm : simulation.vms) {
      vm.followerView.staleHeads = false;
      vm.setPlatformReachable(platformRecovers || vm == simulation.vms.getLast());
      vm.peersReachable = !platformRecovers;
    }
  }
}
