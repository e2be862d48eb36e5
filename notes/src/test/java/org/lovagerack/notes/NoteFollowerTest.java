package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.junit.jupiter.api.Test;
import org.lovagerack.notes.NoteSimulation.Vm;

/** Guards the follower's timing, its use of snapshots, and what it keeps for peers. */
final class NoteFollowerTest {

  private static final Duration FORCE_LIMIT = Duration.ofSeconds(13);

  private final NoteSimulation simulation = new NoteSimulation(1, 2);
  private final Vm publisher = simulation.vms.get(0);
  private final Vm other = simulation.vms.get(1);

  private void publish(int count) {
    for (int i = 0; i < count; i++) {
      simulation.publishNew(publisher, i % 50);
      simulation.timer.advance(Duration.ofMillis(200));
    }
  }

  private void settle() {
    simulation.timer.advance(FORCE_LIMIT);
  }

  @Test
  void putsANoteInForceWithin13SecondsByPollingAlone() {
    other.peersReachable = false;
    settle();
    publish(1);

    simulation.timer.advance(Duration.ofSeconds(3));

    assertThat(other.revision()).isEqualTo(1);
  }

  /** The longest period of an outage must not delay notes after it beyond the limit. */
  @Test
  void putsANoteInForceWithin13SecondsAfterALongOutage() {
    other.peersReachable = false;
    settle();
    other.setPlatformReachable(false);
    simulation.timer.advance(Duration.ofMinutes(10));
    publish(1);
    // Calls that are in progress when the outage ends are answered or given up first.
    int readsBefore = simulation.platform.reads;
    while (simulation.platform.reads == readsBefore) {
      simulation.timer.advanceToNext();
    }
    simulation.timer.advance(Duration.ofSeconds(6));
    other.setPlatformReachable(true);

    settle();

    assertThat(other.revision()).isEqualTo(1);
  }

  @Test
  void pollsLessOftenInAnOutageAndNeverTwiceAtATime() {
    PendingReads pending = new PendingReads();
    NoteFollower follower =
        new NoteFollower(
            simulation.timer,
            simulation.random,
            pending,
            other.followerView,
            revision -> CompletableFuture.completedStage(List.of()));
    follower.start();

    for (int second = 0; second < 600; second++) {
      simulation.timer.advance(Duration.ofSeconds(1));
      follower.offer(9, Samples.withdrawing("early", 8, List.of(), List.of()));
      follower.refresh();
      assertThat(pending.startedWithin(simulation.timer.nanoTime(), Duration.ofSeconds(5)))
          .as("calls in the last 5 s, which is the limit of one call")
          .isLessThanOrEqualTo(1);
    }
    follower.offer(9, Samples.withdrawing("early", 8, List.of(), List.of()));
    int before = pending.starts.size();
    simulation.timer.advance(Duration.ofSeconds(130));

    // Each poll takes 5 s until it is given up, and the pause after it is 8 to 10 s.
    assertThat(pending.starts.size() - before).isBetween(8, 10);
  }

  /** A table whose reads are never answered. */
  private final class PendingReads implements org.lovagerack.platform.TableService {
    final List<Long> starts = new ArrayList<>();

    long startedWithin(long now, Duration duration) {
      return starts.stream().filter(start -> now - start < duration.toNanos()).count();
    }

    @Override
    public CompletableFuture<Optional<org.lovagerack.platform.Row>> read(String key) {
      starts.add(simulation.timer.nanoTime());
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<List<org.lovagerack.platform.Row>> scan(
        String prefix, String after, int limit) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<org.lovagerack.platform.CommitResult> commit(
        org.lovagerack.platform.Transaction transaction) {
      return new CompletableFuture<>();
    }
  }

  @Test
  void startsFromTheNewestSnapshot() {
    publish(200);
    settle();
    assertThat(simulation.platform.objects)
        .containsOnlyKeys("deployments/64", "deployments/128", "deployments/192");
    simulation.platform.rows.subMap("notes/000000000001", true, "notes/000000000192", true).clear();
    other.peersReachable = false;

    other.start();
    settle();

    assertThat(other.revision()).isEqualTo(200);
  }

  @Test
  void startsFromTheRowsIfTheSnapshotIsUnusable() {
    publish(130);
    settle();
    simulation.platform.objects.put("deployments/128", "{\"revision\": 3}");
    other.peersReachable = false;

    other.start();
    settle();

    assertThat(other.revision()).isEqualTo(130);
  }

  @Test
  void keepsTheLast256NotesForPeers() {
    settle();
    publish(300);

    CatchUp retained = publisher.follower.catchUpAfter(300 - 256);
    assertThat(retained.deployment()).isEmpty();
    assertThat(retained.notes()).hasSize(256);
    assertThat(publisher.follower.catchUpAfter(300 - 257).deployment())
        .contains(simulation.truth(300));
    assertThat(publisher.follower.catchUpAfter(300).revision()).isEqualTo(-1);
  }

  @Test
  void hasNoDeploymentUntilThePlatformOrAPeerAnswers() {
    publish(3);
    other.setPlatformReachable(false);
    other.peersReachable = false;
    other.start();
    settle();
    assertThat(other.follower.deployment()).isEmpty();
    assertThat(other.follower.catchUpAfter(-1).revision()).isEqualTo(-1);

    other.peersReachable = true;
    settle();

    assertThat(other.revision()).isEqualTo(3);
  }

  @Test
  void logsAnotherNoteForAnAppliedRevisionAndIgnoresIt() {
    settle();
    publish(2);
    settle();
    List<String> events = new ArrayList<>();
    AbstractAppender appender =
        new AbstractAppender("test", null, null, true, Property.EMPTY_ARRAY) {
          @Override
          public void append(LogEvent event) {
            events.add(event.getMessage().getFormattedMessage());
          }
        };
    appender.start();
    Logger logger = (Logger) LogManager.getLogger(NoteFollower.class);
    logger.addAppender(appender);
    logger.setLevel(Level.ERROR);
    Deployment before = other.follower.deployment().orElseThrow();

    other.follower.offer(1, simulation.noteAt(1));
    other.follower.offer(
        1, Samples.adding("forged", 0, List.of(Samples.service("x")), Samples.upstream(7, 1)));

    logger.removeAppender(appender);
    logger.setLevel(Level.OFF);
    assertThat(events).singleElement().asString().contains("event=\"4005\"", "note-0", "forged");
    assertThat(other.follower.deployment()).containsSame(before);
  }
}
