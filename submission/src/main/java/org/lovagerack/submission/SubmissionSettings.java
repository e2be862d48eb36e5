package org.lovagerack.submission;

import java.time.Duration;

/**
 * Settings of identifiers and answers.
 *
 * @param unusedLifetime time after which an identifier that was not used expires
 * @param answerRetention time for which an answer or a refusal is kept after it became final
 * @param drainLinger time for which a drain waits for a finished job to be read
 * @param maxIssueCount largest number of identifiers in one call
 * @param maxOutstanding largest number of identifiers that were issued and are not expired
 * @param maxRetainedBytes size of retained answers above which no job is accepted
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
