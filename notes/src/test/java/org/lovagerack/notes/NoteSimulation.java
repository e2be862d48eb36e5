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

/** Entry VMs that publish and follow notes, over a platform and connections with faults. */
final class NoteSimulation {

  final DrivenTimer timer = new DrivenTimer();
  final Random random;
  final FakePlatform platform;
  final List<Vm> vms = new ArrayList<>();

  /** What publishers said about each note, by note id. */
  private final Map<String, List<String>> verdicts = new LinkedHashMap<>();

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

  /** One entry VM over all its incarnations. */
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
                      .map(peer -> overTheWire(peer.follower.catchUpAfter(revision)))
                      .toList()));
      return answer;
    }
  }

  private static CatchUp overTheWire(CatchUp catchUp) {
    try {
      return CatchUpCodec.decode(CatchUpCodec.encode(catchUp));
    } catch (LovagerackException e) {
      throw new AssertionError(e);
    }
  }

  /** Checks that a follower never goes back and holds what the accepted notes result in. */
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
      check(() -> assertThat(deployment).as("deployment at " + last).isEqualTo(truth(last)));
    }

    @Override
    public void learned(long revision, ReleaseNote note) {
      for (Vm peer : vms) {
        if (peer != owner && peer.peersReachable && owner.peersReachable && random.nextBoolean()) {
          timer.after(
              Duration.ofMillis(random.nextInt(3_000)), () -> peer.follower.offer(revision, note));
        }
      }
    }
  }

  /** Returns the result of the first accepted notes. */
  Deployment truth(long revision) {
    Deployment deployment = truths.getLast();
    while (deployment.revision() < revision) {
      try {
        deployment = deployment.apply(noteAt(deployment.revision() + 1));
      } catch (LovagerackException e) {
        throw new AssertionError("accepted note cannot be applied", e);
      }
      truths.add(deployment);
    }
    return truths.get((int) revision);
  }

  private final List<Deployment> truths = new ArrayList<>(List.of(Deployment.empty()));

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
    List<String> told = verdicts.computeIfAbsent(note.noteId(), id -> new ArrayList<>());
    pending++;
    vm.publisher
        .publish(note)
        .whenComplete(
            (publication, failure) -> {
              pending--;
              if (failure == null) {
                told.add("ACCEPTED");
                check(
                    () ->
                        assertThat(noteAt(publication.revision()))
                            .as("note that a publisher called accepted")
                            .isEqualTo(note));
              } else {
                told.add(kind(failure).name());
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

  /** Lets every publisher finish. */
  void finishPublishing() {
    for (int i = 0; i < 100 && pending > 0; i++) {
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(pending).as("publishers that never answer").isZero();
  }

  /** Republishes notes of unknown outcome at the last VM, which reaches the platform by now. */
  void resolveUnknown() {
    verdicts.forEach(
        (id, told) -> {
          boolean known = told.contains("ACCEPTED") || told.contains("NOTE_CONFLICT");
          if (!known && told.contains("PUBLISH_UNKNOWN")) {
            publish(vms.getLast(), published.get(id));
            finishPublishing();
            assertThat(told.getLast())
                .as("verdict on " + id + " after all faults, " + told)
                .isIn("ACCEPTED", "NOTE_CONFLICT");
          }
        });
  }

  /** Keeps a violation for the end of the run, because stages swallow what callbacks throw. */
  private void check(Runnable assertion) {
    try {
      assertion.run();
    } catch (AssertionError e) {
      violations.add(e.getMessage());
    }
  }

  void checkVerdicts() {
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
    verdicts.forEach(
        (id, told) -> {
          if (told.contains("ACCEPTED")) {
            assertThat(accepted).as("told " + told).containsKey(id);
          }
          if (told.contains("NOTE_CONFLICT") || !told.contains("PUBLISH_UNKNOWN")) {
            boolean refused = !told.contains("ACCEPTED");
            assertThat(accepted.containsKey(id)).as(id + " told " + told).isNotEqualTo(refused);
          }
        });
  }
}
