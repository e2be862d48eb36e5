package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.DeploymentCodec;

/**
 * Measures how the platform calls, peer messages and propagation time of release notes depend on
 * the number of entry VMs that follow them.
 */
final class FollowerMeasurements {

  /** Equals 30,000 notes a day. */
  private static final double NOTES_PER_SECOND = 30_000 / 86_400.0;

  private static final int FIRST_REVISION = 64;
  private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

  private final CapacitySizes sizes;
  private final Measurement reads =
      new Measurement("platform reads per second, notes at 30,000 a day", "1/s", "entry VMs");
  private final Measurement idleReads =
      new Measurement("platform reads per second without notes", "1/s", "entry VMs");
  private final Measurement writes =
      new Measurement("platform writes per note", "writes", "entry VMs");
  private final Measurement pushes = new Measurement("pushes per note", "messages", "entry VMs");
  private final Measurement maxDelay =
      new Measurement("longest time from publish to in force on all", "ms", "entry VMs");
  private final Measurement maxDelayWithoutPush =
      new Measurement("the same if every push is lost", "ms", "entry VMs");

  FollowerMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() {
    for (int followers : sizes.followers()) {
      measure(followers);
      maxDelayWithoutPush.add(followers, measureMaxDelayMillis(startGroup(followers, false)));
    }
    return List.of(reads, idleReads, writes, pushes, maxDelay, maxDelayWithoutPush);
  }

  private void measure(int followers) {
    FollowerGroup group = startGroup(followers, true);
    long readsBefore = group.platform.tableReads();
    Duration idle = Duration.ofSeconds(60);
    group.timer.advance(idle);
    idleReads.add(
        followers, (group.platform.tableReads() - readsBefore) / (double) idle.toSeconds());
    readsBefore = group.platform.tableReads();
    long writesBefore = group.platform.writes();
    long startNanos = group.timer.nanoTime();
    double maxMillis = measureMaxDelayMillis(group);
    double seconds = (group.timer.nanoTime() - startNanos - SETTLING_TIME.toNanos()) / 1e9;
    // Subtract the polls during the settling time after the last note.
    double settleReads = idleReads.points().getLast().y() * SETTLING_TIME.toSeconds();
    reads.add(followers, (group.platform.tableReads() - readsBefore - settleReads) / seconds);
    writes.add(followers, (group.platform.writes() - writesBefore) / (double) sizes.notes());
    pushes.add(followers, group.pushes() / (double) sizes.notes());
    maxDelay.add(followers, maxMillis);
  }

  /**
   * Publishes notes at exponentially distributed intervals and returns the maximum propagation time
   * in milliseconds.
   */
  private double measureMaxDelayMillis(FollowerGroup group) {
    Random random = new Random(1);
    for (int note = 0; note < sizes.notes(); note++) {
      group.publish(Samples.upstreamChange(FIRST_REVISION + note, note));
      // At least 0.1 s apart: the next note is based on this one, which must be in force first.
      double seconds = 0.1 + random.nextExponential() * (1 / NOTES_PER_SECOND - 0.1);
      group.timer.advance(Duration.ofNanos((long) (seconds * 1e9)));
    }
    group.timer.advance(SETTLING_TIME);
    double maxMillis = 0;
    for (int note = 1; note <= sizes.notes(); note++) {
      maxMillis = Math.max(maxMillis, group.propagationTime(FIRST_REVISION + note).toNanos() / 1e6);
    }
    return maxMillis;
  }

  private static FollowerGroup startGroup(int followers, boolean push) {
    FollowerGroup group = new FollowerGroup(push);
    Deployment deployment = Samples.deployment(FIRST_REVISION, 100, 0);
    group.platform.install(FIRST_REVISION, DeploymentCodec.encode(deployment));
    for (int follower = 0; follower < followers; follower++) {
      group.start(follower / FollowerGroup.DOMAIN_SIZE);
    }
    group.timer.advance(SETTLING_TIME);
    return group;
  }
}
