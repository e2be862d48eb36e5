package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Simulates entry VMs that publish and follow notes, with faults of platform and connections. */
final class NoteSimulation {

  final DrivenTimer timer = new DrivenTimer();
  final Random random;
  final FakePlatform platform;
  final List<Vm> vms = new ArrayList<>();

  /** Outcomes that publishers reported for each note, by note id. */
  private final Map<String, List<String>> outcomes = new LinkedHashMap<>();

  private final Map<String, ReleaseNote> published = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int pending;

  NoteSimulation(long seed, int vmCount) {
    random = new Random(seed);
    platform = new FakePlatform(timer, random);
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm());
    }
  }

  /** One entry VM with all its incarnations. */
  final class Vm implements NoteSource {
    final FakePlatform.View publisherView = platform.new View();
    final FakePlatform.View followerView = platform.new View();
    boolean peersReachable = true;
    NoteFollower follower;
    NotePublisher publisher;

    Vm() {
      start();
    }

    void start() {
      if (follower != null) {
        follower.stop();
      }
      follower = new NoteFollower(timer, random, followerView, followerView, this);
      publisher = new NotePublisher(timer, publisherView, publisherView, follower);
      follower.addListener(new CheckingListener(this));
      follower.start();
    }

    void setPlatformReachable(boolean reachable) {
      publisherView.reachable = reachable;
      followerView.reachable = reachable;
    }

    long revision() {
      return follower.deployment().map(Deployment::revision).orElse(-1L);
    }

    @Override
    public CompletionStage<List<CatchUp>> catchUpAfter(long revision) {
      CompletableFuture<List<CatchUp>> answer = new CompletableFuture<>();
      timer.after(
          Duration.ofMillis(random.nextInt(50)),
          () ->
              answer.complete(
                  vms.stream()
                      .filter(peer -> peer != this && peersReachable && peer.peersReachable)
                      .map(peer -> encodeAndDecode(peer.follower.catchUpAfter(revision)))
                      .toList()));
      return answer;
    }
  }

  private static CatchUp encodeAndDecode(CatchUp catchUp) {
    try {
      return CatchUpCodec.decode(CatchUpCodec.encode(catchUp));
    } catch (LovagerackException e) {
      throw new AssertionError(e);
    }
  }

  /** Checks that the revision only increases and the deployment matches the accepted notes. */
  private final class CheckingListener implements DeploymentListener {
    private final Vm owner;
    private long last = -1;

    CheckingListener(Vm owner) {
      this.owner = owner;
    }

    @Override
    public void deployed(Deployment deployment) {
      long before = last;
      last = deployment.revision();
      check(() -> assertThat(last).as("revision after " + before).isGreaterThan(before));
      check(
          () ->
              assertThat(deployment)
                  .as("deployment at " + last)
                  .isEqualTo(expectedDeployment(last)));
    }

    @Override
    public void noteReceivedFromPlatform(long revision, ReleaseNote note) {
      for (Vm peer : vms) {
        if (peer != owner && peer.peersReachable && owner.peersReachable && random.nextBoolean()) {
          timer.after(
              Duration.ofMillis(random.nextInt(3_000)), () -> peer.follower.offer(revision, note));
        }
      }
    }
  }

  /** Returns the deployment that results from the accepted notes up to a revision. */
  Deployment expectedDeployment(long revision) {
    Deployment deployment = expectedDeployments.getLast();
    while (deployment.revision() < revision) {
      try {
        deployment = deployment.apply(noteAt(deployment.revision() + 1));
      } catch (LovagerackException e) {
        throw new AssertionError("accepted note cannot be applied", e);
      }
      expectedDeployments.add(deployment);
    }
    return expectedDeployments.get((int) revision);
  }

  private final List<Deployment> expectedDeployments = new ArrayList<>(List.of(Deployment.empty()));

  ReleaseNote noteAt(long revision) {
    try {
      return NoteCodec.decode(platform.notes().get(revision));
    } catch (LovagerackException e) {
      throw new AssertionError("accepted note " + revision + " cannot be read", e);
    }
  }

  long head() {
    return platform.notes().isEmpty() ? 0 : platform.notes().lastKey();
  }

  void publishNew(Vm vm, int choice) {
    String id = "note-" + published.size();
    Deployment base = vm.follower.deployment().orElse(Deployment.empty());
    publish(vm, Samples.next(id, base, choice));
  }

  void republish(Vm vm, int choice) {
    if (!published.isEmpty()) {
      publish(vm, List.copyOf(published.values()).get(choice % published.size()));
    }
  }

  void publish(Vm vm, ReleaseNote note) {
    published.putIfAbsent(note.noteId(), note);
    List<String> noteOutcomes = outcomes.computeIfAbsent(note.noteId(), id -> new ArrayList<>());
    pending++;
    vm.publisher
        .publish(note)
        .whenComplete(
            (publication, failure) -> {
              pending--;
              if (failure == null) {
                noteOutcomes.add("ACCEPTED");
                check(
                    () ->
                        assertThat(noteAt(publication.revision()))
                            .as("note that a publisher reported as accepted")
                            .isEqualTo(note));
              } else {
                noteOutcomes.add(kind(failure).name());
              }
            });
  }

  static ErrorKind kind(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof LovagerackException known) {
      return known.failure().kind();
    }
    throw new AssertionError("not a known failure", failure);
  }

  /** Waits until every publisher has finished. */
  void finishPublishing() {
    for (int i = 0; i < 100 && pending > 0; i++) {
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(pending).as("publishers that never answer").isZero();
  }

  /** Republishes notes with an unknown outcome on the last VM, which can reach the platform. */
  void republishUnknown() {
    outcomes.forEach(
        (id, noteOutcomes) -> {
          boolean known =
              noteOutcomes.contains("ACCEPTED") || noteOutcomes.contains("NOTE_CONFLICT");
          if (!known && noteOutcomes.contains("PUBLISH_UNKNOWN")) {
            publish(vms.getLast(), published.get(id));
            finishPublishing();
            assertThat(noteOutcomes.getLast())
                .as("outcome of " + id + " after all faults, " + noteOutcomes)
                .isIn("ACCEPTED", "NOTE_CONFLICT");
          }
        });
  }

  /** Records a violation for the end of the run, because stages swallow exceptions of callbacks. */
  private void check(Runnable assertion) {
    try {
      assertion.run();
    } catch (AssertionError e) {
      violations.add(e.getMessage());
    }
  }

  void checkOutcomes() {
    assertThat(violations).isEmpty();
    assertThat(platform.overwrittenNotes).as("revisions with two notes").isEmpty();
    Map<String, Long> accepted = new LinkedHashMap<>();
    platform
        .notes()
        .keySet()
        .forEach(
            revision ->
                assertThat(Optional.ofNullable(accepted.put(noteAt(revision).noteId(), revision)))
                    .as("earlier revision of the note of revision " + revision)
                    .isEmpty());
    outcomes.forEach(
        (id, noteOutcomes) -> {
          if (noteOutcomes.contains("ACCEPTED")) {
            assertThat(accepted).as("outcomes " + noteOutcomes).containsKey(id);
          }
          if (noteOutcomes.contains("NOTE_CONFLICT") || !noteOutcomes.contains("PUBLISH_UNKNOWN")) {
            boolean refused = !noteOutcomes.contains("ACCEPTED");
            assertThat(accepted.containsKey(id))
                .as(id + " has outcomes " + noteOutcomes)
                .isNotEqualTo(refused);
          }
        });
  }
}
