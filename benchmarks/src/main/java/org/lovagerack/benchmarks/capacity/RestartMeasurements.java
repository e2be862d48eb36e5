package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.List;
import org.lovagerack.notes.DeploymentCodec;

/** Measures how entry VMs catch up that restart at the same time without state. */
final class RestartMeasurements {

  private static final int REVISION = 64;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MAX_STEPS = 3_000;

  private final CapacitySizes sizes;
  private final Measurement platformReads =
      new Measurement("table and object reads until caught up", "reads", "entry VMs returning");
  private final Measurement snapshotBytes =
      new Measurement("snapshot bytes read until caught up", "B", "entry VMs returning");
  private final Measurement catchUpTime =
      new Measurement("driven time until caught up", "ms", "entry VMs returning");
  private final Measurement peerAnswers =
      new Measurement(
          "answers of peers until caught up, platform down", "messages", "entry VMs returning");
  private final Measurement peerAnswerBytes =
      new Measurement("bytes of these answers", "B", "entry VMs returning");
  private final Measurement outageCatchUpTime =
      new Measurement("driven time until caught up, platform down", "ms", "entry VMs returning");

  RestartMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() {
    String snapshot =
        DeploymentCodec.encode(Samples.deployment(REVISION, sizes.maxDefinitions(), 180));
    for (int restartingVms : sizes.restartingVms()) {
      withPlatform(restartingVms, snapshot);
    }
    for (int restartingVms : List.of(1, 2, 3)) {
      withoutPlatform(restartingVms, snapshot);
    }
    return List.of(
        platformReads, snapshotBytes, catchUpTime, peerAnswers, peerAnswerBytes, outageCatchUpTime);
  }

  /** Starts entry VMs that have no peers with state and catch up from the platform. */
  private void withPlatform(int restartingVms, String snapshot) {
    FollowerGroup group = new FollowerGroup(true);
    group.platform.install(REVISION, snapshot);
    for (int follower = 0; follower < restartingVms; follower++) {
      group.start(follower / FollowerGroup.DOMAIN_SIZE);
    }
    catchUpTime.add(restartingVms, millisUntilCaughtUp(group));
    platformReads.add(restartingVms, group.platform.tableReads() + group.platform.objectReads());
    snapshotBytes.add(restartingVms, group.platform.objectReadChars());
  }

  /** Restarts some entry VMs of a domain during a platform outage; the others have state. */
  private void withoutPlatform(int restartingVms, String snapshot) {
    FollowerGroup group = new FollowerGroup(true);
    group.platform.install(REVISION, snapshot);
    for (int follower = 0; follower < FollowerGroup.DOMAIN_SIZE; follower++) {
      group.start(0);
    }
    millisUntilCaughtUp(group);
    group.removeLast(restartingVms);
    group.platform.setAvailable(false);
    for (int follower = 0; follower < restartingVms; follower++) {
      group.start(0);
    }
    outageCatchUpTime.add(restartingVms, millisUntilCaughtUp(group));
    peerAnswers.add(restartingVms, group.peerAnswers());
    peerAnswerBytes.add(restartingVms, group.peerAnswerChars());
  }

  private static long millisUntilCaughtUp(FollowerGroup group) {
    int steps = 0;
    while (!group.allReached(REVISION)) {
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
