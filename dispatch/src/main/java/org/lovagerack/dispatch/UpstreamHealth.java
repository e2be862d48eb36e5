package org.lovagerack.dispatch;

/** Tracks recent results of an upstream and whether it is ejected. */
final class UpstreamHealth {

  /** Whether an upstream receives tasks. */
  enum State {
    ACCEPTING,
    EJECTED,
    PROBE_DUE,
    PROBING
  }

  static final int WINDOW = 20;
  private static final int WINDOW_MASK = (1 << WINDOW) - 1;

  /** A single closed connection may be due to a server's limit of requests per connection. */
  private static final int MIN_CLOSING_ANSWERS = 3;

  /** An upstream that still answers after the backoffs of this many probes is not stopping. */
  private static final int MAX_CLOSING_PROBES = 3;

  private State state = State.ACCEPTING;
  private int consecutiveFailures;
  private int consecutiveSuccesses;
  private int failureBits;
  private int ejections;
  private boolean keepsConnections;
  private int consecutiveClosingAnswers;
  private int closingProbes;

  State state() {
    return state;
  }

  boolean accepting() {
    return state == State.ACCEPTING;
  }

  void recordSuccess() {
    failureBits = (failureBits << 1) & WINDOW_MASK;
    consecutiveFailures = 0;
    consecutiveSuccesses++;
    if (accepting() && consecutiveSuccesses >= WINDOW) {
      ejections = 0;
    }
  }

  void recordFailure() {
    failureBits = ((failureBits << 1) | 1) & WINDOW_MASK;
    consecutiveFailures++;
    consecutiveSuccesses = 0;
  }

  /**
   * Records whether an answer announced that its connection will be closed. A server that shuts
   * down gracefully closes each connection with the next answer on it.
   */
  void recordAnswer(boolean closing) {
    if (!closing) {
      keepsConnections = true;
      consecutiveClosingAnswers = 0;
      closingProbes = 0;
    } else if (keepsConnections) {
      consecutiveClosingAnswers++;
    }
  }

  /** Records that the answer to a probe closed its connection. */
  void recordClosingProbe() {
    closingProbes++;
    if (closingProbes >= MAX_CLOSING_PROBES) {
      keepsConnections = false;
      consecutiveClosingAnswers = 0;
      closingProbes = 0;
    }
  }

  /** Returns whether an upstream that used to keep connections open now closes all of them. */
  boolean closesAllConnections() {
    return consecutiveClosingAnswers >= MIN_CLOSING_ANSWERS;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Returns the number of failures among the last {@link #WINDOW} results. */
  int recentFailures() {
    return Integer.bitCount(failureBits);
  }

  /** Ejects the upstream and returns the number of ejections since it last recovered. */
  int eject() {
    state = State.EJECTED;
    return ++ejections;
  }

  void markProbeDue() {
    state = State.PROBE_DUE;
  }

  void markProbing() {
    state = State.PROBING;
  }

  /** Readmits the upstream and discards the results from before the ejection. */
  void readmit() {
    state = State.ACCEPTING;
    consecutiveFailures = 0;
    consecutiveSuccesses = 0;
    failureBits = 0;
  }
}
