package org.lovagerack.dispatch;

/** Recent results of an upstream and whether it is ejected. */
final class UpstreamHealth {

  /** Whether an upstream gets tasks. */
  enum State {
    ACCEPTING,
    EJECTED,
    PROBE_DUE,
    PROBING
  }

  static final int WINDOW = 20;
  private static final int WINDOW_MASK = (1 << WINDOW) - 1;

  /** One closed connection may be due to a server's limit of requests for each connection. */
  private static final int CLOSING_ANSWERS = 3;

  /** An upstream that still answers after the back-offs of this many probes is not leaving. */
  private static final int CLOSING_PROBES = 3;

  private State state = State.ACCEPTING;
  private int consecutiveFailures;
  private int consecutiveSuccesses;
  private int failureBits;
  private int ejections;
  private boolean keepsConnections;
  private int consecutiveClosing;
  private int closingProbes;

  State state() {
    return state;
  }

  boolean accepting() {
    return state == State.ACCEPTING;
  }

  void succeeded() {
    failureBits = (failureBits << 1) & WINDOW_MASK;
    consecutiveFailures = 0;
    consecutiveSuccesses++;
    if (accepting() && consecutiveSuccesses >= WINDOW) {
      ejections = 0;
    }
  }

  void failed() {
    failureBits = ((failureBits << 1) | 1) & WINDOW_MASK;
    consecutiveFailures++;
    consecutiveSuccesses = 0;
  }

  /**
   * Notes whether an answer announced that its connection is closed. Servers that stop gracefully
   * close every connection with its next answer.
   */
  void answered(boolean closing) {
    if (!closing) {
      keepsConnections = true;
      consecutiveClosing = 0;
      closingProbes = 0;
    } else if (keepsConnections) {
      consecutiveClosing++;
    }
  }

  /** Notes that a probe was answered with a closed connection. */
  void probeClosed() {
    closingProbes++;
    if (closingProbes >= CLOSING_PROBES) {
      keepsConnections = false;
      consecutiveClosing = 0;
      closingProbes = 0;
    }
  }

  /** Returns whether an upstream that used to keep connections now closes all of them. */
  boolean announcesStop() {
    return consecutiveClosing >= CLOSING_ANSWERS;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Returns the number of failures among the last {@link #WINDOW} results. */
  int recentFailures() {
    return Integer.bitCount(failureBits);
  }

  /** Ejects the upstream and returns how often it was ejected without recovering in between. */
  int eject() {
    state = State.EJECTED;
    return ++ejections;
  }

  void probeDue() {
    state = State.PROBE_DUE;
  }

  void probing() {
    state = State.PROBING;
  }

  /** Readmits the upstream; the results from before the ejection no longer count. */
  void readmit() {
    state = State.ACCEPTING;
    consecutiveFailures = 0;
    consecutiveSuccesses = 0;
    failureBits = 0;
  }
}
