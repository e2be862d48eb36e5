package org.lovagerack.fleet.shard;

/**
 * Detects a sustained overload and selects the queued jobs to refuse. Jobs that can still meet
 * their objective are placed first, so a late job is not placed while such jobs are queued.
 * Refusing it early lets the caller retry sooner than waiting for the end of its useful time.
 */
final class OverloadDetector {

  /**
   * Consecutive checks that must find timely jobs without a free worker. A single check may fall
   * between the end of one task and the start of the next.
   */
  private static final int CONSECUTIVE_CHECKS = 2;

  private int consecutiveOverloads;

  /**
   * Records the result of a periodic check of the queue.
   *
   * @param timelyJobWaits whether a job that may start and can meet its objective is still queued
   */
  void recordCheck(boolean timelyJobWaits) {
    consecutiveOverloads = timelyJobWaits ? consecutiveOverloads + 1 : 0;
  }

  /**
   * Returns whether a job that has not started should be refused.
   *
   * @param meetsObjective whether it would meet its objective if it started now
   * @param useful whether it would end within its useful time if it started now
   */
  boolean shouldRefuse(boolean meetsObjective, boolean useful) {
    return !useful || (!meetsObjective && consecutiveOverloads >= CONSECUTIVE_CHECKS);
  }
}
