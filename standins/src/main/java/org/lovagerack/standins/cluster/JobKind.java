package org.lovagerack.standins.cluster;

import java.time.Duration;

/** The kinds of jobs that the demonstration submits. */
public enum JobKind {
  SECTION_SWAP("section-swap", 1, 80, true, true),
  RISER_LAYOUT("riser-layout", 150, 120, true, false),
  PARENT_ALERT("parent-alert", 40, 60, false, false);

  private static final Duration TIME_LIMIT = Duration.ofSeconds(20);

  private final String kind;
  private final int taskCount;
  private final int workMillis;
  private final boolean urgent;
  private final boolean repeatable;

  JobKind(String kind, int taskCount, int workMillis, boolean urgent, boolean repeatable) {
    this.kind = kind;
    this.taskCount = taskCount;
    this.workMillis = workMillis;
    this.urgent = urgent;
    this.repeatable = repeatable;
  }

  public String kind() {
    return kind;
  }

  public int taskCount() {
    return taskCount;
  }

  public int workMillis() {
    return workMillis;
  }

  public boolean urgent() {
    return urgent;
  }

  public boolean repeatable() {
    return repeatable;
  }

  public Duration timeLimit() {
    return TIME_LIMIT;
  }
}
