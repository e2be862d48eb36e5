package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.timer.TimerService;

/**
 * When a VM takes shards without an owner: one after the other, and later the weaker the VM is and
 * the more shards it has, so that strong VMs with few shards come first. Answers a load at which
 * one VM can serve one shard, but not three: an owner works on one thread, and each task takes it
 * about a millisecond of processor.
 */
final class TakeoverTurns {

  /** With about 450 tasks a second, a shard uses this much of a core. */
  private static final double STRONG_CORES = 0.6;

  /** About a takeover's length: a weak VM waits until the strong ones have had their try. */
  private static final Duration LONGEST_FOR_WEAKNESS = Duration.ofMillis(300);

  /** Longer than the time by which VMs differ in learning that a shard has no owner. */
  private static final Duration PER_SHARD = Duration.ofMillis(300);

  /** Spreads the attempts of several VMs to take one shard. */
  private static final Duration LONGEST_JITTER = Duration.ofMillis(60);

  private final TimerService timer;
  private final RandomGenerator random;
  private final double cores;
  private final LongSupplier ownedShards;
  private final Queue<Consumer<Runnable>> attempts = new ArrayDeque<>();
  private boolean busy;

  /**
   * Creates turns without attempts.
   *
   * @param cores processor that one thread of the VM can use, cores
   * @param ownedShards number of shards that the VM has
   */
  TakeoverTurns(
      TimerService timer, RandomGenerator random, double cores, LongSupplier ownedShards) {
    this.timer = timer;
    this.random = random;
    this.cores = cores;
    this.ownedShards = ownedShards;
  }

  /** Adds an attempt, which must run the callback that it is given when it is over. */
  void add(Consumer<Runnable> attempt) {
    attempts.add(attempt);
    next();
  }

  /** Returns whether one thread of the VM can do the work of a shard. */
  boolean strong() {
    return cores >= STRONG_CORES;
  }

  /** Returns how long the VM has to leave a shard to others. */
  Duration delay() {
    double weakness = Math.max(0, STRONG_CORES - cores) / STRONG_CORES;
    return Duration.ofNanos((long) (weakness * LONGEST_FOR_WEAKNESS.toNanos()))
        .plus(PER_SHARD.multipliedBy(ownedShards.getAsLong()));
  }

  private void next() {
    if (busy || attempts.isEmpty()) {
      return;
    }
    busy = true;
    Consumer<Runnable> attempt = attempts.remove();
    timer.after(
        delay().plusNanos(random.nextLong(LONGEST_JITTER.toNanos())),
        () ->
            attempt.accept(
                () -> {
                  busy = false;
                  next();
                }));
  }
}
