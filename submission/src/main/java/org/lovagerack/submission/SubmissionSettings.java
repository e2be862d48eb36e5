package org.lovagerack.submission;

import java.time.Duration;

/**
 * Lifetimes and limits of submission identifiers and of retained answers.
 *
 * @param unusedLifetime time after which an unused identifier expires
 * @param answerRetention time for which a final answer or a refusal is retained
 * @param drainLinger time that a drain allows for the answer of a finished job to be read
 * @param maxIssueCount maximum number of identifiers issued by one call
 * @param maxOutstanding maximum number of issued identifiers that have not expired
 * @param maxRetainedBytes total size of retained answers, in bytes, above which jobs are refused
 */
public record SubmissionSettings(
    Duration unusedLifetime,
    Duration answerRetention,
    Duration drainLinger,
    int maxIssueCount,
    long maxOutstanding,
    long maxRetainedBytes) {

  /**
   * @throws IllegalArgumentException if a value is out of range
   */
  public SubmissionSettings {
    requirePositive("unusedLifetime", unusedLifetime);
    requirePositive("answerRetention", answerRetention);
    if (drainLinger.isNegative()) {
      throw new IllegalArgumentException("drainLinger is negative: " + drainLinger);
    }
    if (maxIssueCount < 1) {
      throw new IllegalArgumentException("maxIssueCount is not positive: " + maxIssueCount);
    }
    if (maxOutstanding < maxIssueCount) {
      throw new IllegalArgumentException(
          "maxOutstanding " + maxOutstanding + " is less than maxIssueCount " + maxIssueCount);
    }
    if (maxRetainedBytes < 1) {
      throw new IllegalArgumentException("maxRetainedBytes is not positive: " + maxRetainedBytes);
    }
  }

  /** Returns the default settings. */
  public static SubmissionSettings defaults() {
    return new SubmissionSettings(
        Duration.ofMinutes(10),
        Duration.ofSeconds(60),
        Duration.ofSeconds(5),
        10_000,
        1_000_000,
        256L << 20);
  }

  private static void requirePositive(String name, Duration value) {
    if (!value.isPositive()) {
      throw new IllegalArgumentException(name + " is not positive: " + value);
    }
  }
}
