package org.lovagerack.burn;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Number of jobs by outcome.
 *
 * @param byOutcome number of jobs; outcomes without an entry count zero
 */
public record BurnCounts(Map<BurnOutcome, Long> byOutcome) {

  static final BurnCounts NONE = new BurnCounts(Map.of());

  /**
   * @throws IllegalArgumentException if a number is negative
   */
  public BurnCounts {
    EnumMap<BurnOutcome, Long> complete = new EnumMap<>(BurnOutcome.class);
    for (BurnOutcome outcome : BurnOutcome.values()) {
      long count = byOutcome.getOrDefault(outcome, 0L);
      if (count < 0) {
        throw new IllegalArgumentException("negative number of jobs: " + outcome + " " + count);
      }
      complete.put(outcome, count);
    }
    byOutcome = Collections.unmodifiableMap(complete);
  }

  /** Returns the number of jobs with an outcome. */
  public long of(BurnOutcome outcome) {
    return byOutcome.get(outcome);
  }

  /** Returns the number of all jobs. */
  public long total() {
    return byOutcome.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of jobs that consume error budget. */
  public long bad() {
    return total() - of(BurnOutcome.ON_TIME);
  }

  /**
   * Returns the burn rate: the fraction of bad jobs divided by the fraction that the objective
   * allows. At a rate of 1, the error budget lasts exactly as long as the window. Zero if there
   * were no jobs.
   *
   * @param objective fraction of jobs that must be on time, between 0 and 1
   */
  public double burnRate(double objective) {
    long total = total();
    return total == 0 ? 0 : (double) bad() / total / (1 - objective);
  }

  BurnCounts plus(BurnCounts other) {
    EnumMap<BurnOutcome, Long> sum = new EnumMap<>(BurnOutcome.class);
    byOutcome.forEach((outcome, count) -> sum.put(outcome, count + other.of(outcome)));
    return new BurnCounts(sum);
  }
}
