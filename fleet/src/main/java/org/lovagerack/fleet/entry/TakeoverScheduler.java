package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Schedules the attempts of a VM to take over shards, one at a time. The delay grows with the
 * number of shards that the VM owns and with its lack of processor capacity, so that fast VMs with
 * few shards take over first. This spreads the shards: under high load one VM can serve one shard
 * but not three, because an owner runs on one thread and each task takes about a millisecond of
 * processor time.
 */
final class TakeoverScheduler {

  /** Processor cores that a shard uses at about 450 tasks per second. */
  private static final double MIN_CORES_FOR_SHARD = 0.6;

  /** About the duration of a takeover, so that slow VMs start after the attempts of fast ones. */
  private static final Duration MAX_CAPACITY_DELAY = Duration.ofMillis(300);

  /** Longer than the difference between the times at which VMs notice that a shard has no owner. */
  private static final Duration DELAY_PER_OWNED_SHARD = Duration.ofMillis(300);

  /** Spreads the attempts of several VMs to take over the same shard. */
  private static final Duration MAX_JITTER = Duration.ofMillis(60);

  private final TimerService timer;
  private final RandomGenerator random;
  private final double cores;
  private final LongSupplier ownedShards;
  private final Queue<Consumer<Runnable>> attempts = new ArrayDeque<>();
  private boolean busy;

  /**
   * Creates a scheduler without attempts.
   *
   * @param cores processor cores that one thread of the VM can use
   * @param ownedShards returns the number of shards that the VM owns
   */
  TakeoverScheduler(
      TimerService timer, RandomGenerator random, double cores, LongSupplier ownedShards) {
    this.timer = timer;
    this.random = random;
    this.cores = cores;
    this.ownedShards = ownedShards;
  }

  /** Adds an attempt, which must run the given callback when it is finished. */
  void schedule(Consumer<Runnable> attempt) {
    attempts.add(attempt);
    startNext();
  }

  /** Returns whether one thread of the VM has the capacity for a whole shard. */
  boolean canServeShard() {
    return cores >= MIN_CORES_FOR_SHARD;
  }

  /** Returns the time that the VM waits before it takes over a shard. */
  Duration delay() {
    double missingShare = Math.max(0, MIN_CORES_FOR_SHARD - cores) / MIN_CORES_FOR_SHARD;
    return Duration.ofNanos((long) (missingShare * MAX_CAPACITY_DELAY.toNanos()))
        .plus(DELAY_PER_OWNED_SHARD.multipliedBy(ownedShards.getAsLong()));
  }

  private void startNext() {
    if (busy || attempts.isEmpty()) {
      return;
    }
    busy = true;
    Consumer<Runnable> attempt = attempts.remove();
    timer.after(
        delay().plusNanos(random.nextLong(MAX_JITTER.toNanos())),
        () ->
            attempt.accept(
                () -> {
                  busy = false;
                  startNext();
                }));
  }
}
