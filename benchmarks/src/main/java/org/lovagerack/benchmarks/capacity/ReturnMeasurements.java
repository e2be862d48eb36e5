package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.List;
import org.lovagerack.notes.DeploymentCodec;

/** What entry VMs need to catch up that return at once, without any state. */
final class ReturnMeasurements {

  private static final int REVISION = 64;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MAX_STEPS = 3_000;

  private final CapacitySizes sizes;
  private final Measurement reads =
      new Measurement("table and object reads until caught up", "reads", "entry VMs returning");
  private final Measurement bytes =
      new Measurement("snapshot bytes read until caught up", "B", "entry VMs returning");
  private final Measurement time =
      new Measurement("driven time until caught up", "ms", "entry VMs returning");
  private final Measurement answers =
      new Measurement(
          "answers of peers until caught up, platform down", "messages", "entry VMs returning");
  private final Measurement answerBytes =
      new Measurement("bytes of these answers", "B", "entry VMs returning");
  private final Measurement outageTime =
      new Measurement("driven time until caught up, platform down", "ms", "entry VMs returning");

  ReturnMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() {
    String snapshot =
        DeploymentCodec.encode(Samples.deployment(REVISION, sizes.mostDefinitions(), 180));
    for (int returning : sizes.returning()) {
      withPlatform(returning, snapshot);
    }
    for (int returning : List.of(1, 2, 3)) {
      withoutPlatform(returning, snapshot);
    }
    return List.of(reads, bytes, time, answers, answerBytes, outageTime);
  }

  /**
   * All entry VMs start; they have neither peers with state nor anything else than the platform.
   */
  private void withPlatform(int returning, String snapshot) {
    FollowerGroup group = new FollowerGroup(true);
    group.platform.install(REVISION, snapshot);
    for (int follower = 0; follower < returning; follower++) {
      group.start(follower / FollowerGroup.DOMAIN_SIZE);
    }
    time.add(returning, millisUntilCaughtUp(group));
    reads.add(returning, group.platform.tableReads() + group.platform.objectReads());
    bytes.add(returning, group.platform.objectReadChars());
  }

  /** Entry VMs of a failure domain return while the platform is down, and the others have state. */
  private void withoutPlatform(int returning, String snapshot) {
    FollowerGroup group = new FollowerGroup(true);
    group.platform.install(REVISION, snapshot);
    for (int follower = 0; follower < FollowerGroup.DOMAIN_SIZE; follower++) {
      group.start(0);
    }
    millisUntilCaughtUp(group);
    group.removeLast(returning);
    group.platform.setAvailable(false);
    for (int follower = 0; follower < returning; follower++) {
      group.start(0);
    }
    outageTime.add(returning, millisUntilCaughtUp(group));
    answers.add(returning, group.peerAnswers());
    answerBytes.add(returning, group.peerAnswerChars());
  }

  private static long millisUntilCaughtUp(FollowerGroup group) {
    int steps = 0;
    while (!group.allAt(REVISION)) {
      if (steps++ == MAX_STEPS) {
        throw new IllegalStateException(
            group.size()
                + " entry VMs have not caught up after "
                + MAX_STEPS
                + " steps of "
                + STEP);
      }
      group.timer.advance(STEP);
    }
    return steps * STEP.toMillis();
  }
}
