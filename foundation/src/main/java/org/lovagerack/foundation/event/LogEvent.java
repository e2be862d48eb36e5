package org.lovagerack.foundation.event;

/**
 * The closed list of numbered log events; {@code docs/log-events.md} is its catalogue. Numbers are
 * grouped by duty (1000 daemon, 2000 submission, 3000 dispatch, 4000 notes, 5000 membership, 6000
 * platform, 7000 operator calls) and are never reused.
 */
public enum LogEvent {
  DAEMON_STARTED(1001, Severity.INFO, "entry daemon started"),
  DAEMON_STOPPED(1002, Severity.INFO, "entry daemon stopped"),
  DRAIN_STARTED(1003, Severity.INFO, "drain started"),
  DRAIN_FINISHED(1004, Severity.INFO, "drain finished"),
  SETTINGS_REJECTED(1005, Severity.ERROR, "settings rejected"),
  PAUSE_DETECTED(1006, Severity.WARN, "process was paused"),
  SETTINGS_RELOADED(1007, Severity.INFO, "settings file read again"),
  LOG_LINES_DROPPED(1008, Severity.WARN, "log lines dropped to bound the log"),
  WARM_UP_ENDED(1009, Severity.INFO, "warm-up ended"),
  UNEXPECTED_ERROR(1099, Severity.ERROR, "unexpected error"),
  SUBMISSION_REFUSED(2001, Severity.DEBUG, "submission refused"),
  JOB_FAILED(2002, Severity.DEBUG, "job failed"),
  JOB_ACCEPTED(2101, Severity.INFO, "job accepted"),
  JOB_REFUSED(2102, Severity.INFO, "job refused, not run"),
  JOB_ENDED(2103, Severity.INFO, "job ended"),
  REQUEST_REJECTED(2104, Severity.INFO, "request of a client rejected"),
  REQUEST_UNRESOLVED(2105, Severity.WARN, "request of a client ended without a known outcome"),
  JOB_ABANDONED(2106, Severity.INFO, "job ended because nobody waits for it"),
  TASK_STARTED(2111, Severity.INFO, "task started"),
  TASK_ENDED(2112, Severity.INFO, "task ended"),
  RUN_FOUND(2113, Severity.INFO, "run of an earlier owner found at work"),
  RUN_LOST(2114, Severity.INFO, "run ended without a result"),
  START_REJECTED(2115, Severity.INFO, "worker rejected a start"),
  START_UNANSWERED(2116, Severity.WARN, "start was not answered"),
  UPSTREAM_EJECTED(3001, Severity.WARN, "upstream ejected"),
  UPSTREAM_READMITTED(3002, Severity.INFO, "upstream readmitted"),
  UPSTREAM_LEAVING(3003, Severity.INFO, "upstream is leaving"),
  CONNECTION_SUSPECT(3004, Severity.WARN, "connection to upstream is suspected to be silent"),
  WORKER_LISTED(3101, Severity.INFO, "directory lists worker"),
  WORKER_UNLISTED(3102, Severity.INFO, "directory lists worker no more"),
  WORKER_JOINED(3103, Severity.INFO, "worker reported under the owner's token"),
  WORKER_SUSPECT(3104, Severity.WARN, "worker does not report"),
  WORKER_RECOVERED(3105, Severity.INFO, "worker reports again"),
  WORKER_RESTARTED(3106, Severity.WARN, "worker has started again"),
  NOTE_APPLIED(4001, Severity.INFO, "release note applied"),
  NOTE_PUBLISHED(4002, Severity.INFO, "release note published"),
  NOTE_REJECTED(4003, Severity.WARN, "release note rejected"),
  NOTE_STALE_IGNORED(4004, Severity.DEBUG, "older revision ignored"),
  NOTE_CONFLICT_IGNORED(4005, Severity.ERROR, "other note for an applied revision ignored"),
  NOTE_GAP(4006, Severity.WARN, "release note is missing"),
  SNAPSHOT_WRITTEN(4007, Severity.INFO, "snapshot of the deployment written"),
  SNAPSHOT_FAILED(4008, Severity.WARN, "snapshot of the deployment not written or not readable"),
  CONFIGURATION_APPLIED(4101, Severity.INFO, "configuration in force"),
  CONFIGURATION_UNREADABLE(4102, Severity.WARN, "configuration cannot be read"),
  PEER_CONNECTED(5001, Severity.INFO, "peer connected"),
  PEER_DISCONNECTED(5002, Severity.INFO, "peer disconnected"),
  PEER_SUSPECT(5003, Severity.WARN, "peer is suspected to be down"),
  PEER_REJECTED(5004, Severity.WARN, "peer connection rejected"),
  SHARD_OWNER(5101, Severity.INFO, "shard has an owner"),
  SHARD_TAKEN(5102, Severity.INFO, "shard taken"),
  SHARD_NOT_TAKEN(5103, Severity.INFO, "shard not taken"),
  SHARD_RECOVERED(5104, Severity.INFO, "jobs of earlier owners read"),
  SHARD_RESUMED(5105, Severity.INFO, "jobs of earlier owners go on"),
  SHARD_LOST(5106, Severity.WARN, "shard lost to another owner"),
  OWNER_GONE(5107, Severity.WARN, "process of the owner is gone"),
  OWNER_SILENT(5108, Severity.WARN, "owner does not answer"),
  RECORD_DROPPED(5109, Severity.WARN, "record left to the next owner"),
  TOKEN_RAISED(5110, Severity.INFO, "fencing token raised above that of an island"),
  ISLAND_STARTED(5111, Severity.WARN, "failure domain serves its part of a shard by itself"),
  ISLAND_ENDED(5112, Severity.INFO, "failure domain is back in contact with the owner"),
  SHARDS_DECIDED(5113, Severity.INFO, "number of shards decided"),
  PLATFORM_UNAVAILABLE(6001, Severity.WARN, "platform call failed"),
  PLATFORM_RECOVERED(6002, Severity.INFO, "platform answers again"),
  ROW_UNREADABLE(6003, Severity.WARN, "stored row cannot be read"),
  OPERATOR_CALL(7001, Severity.INFO, "operator call"),
  OPERATOR_REJECTED(7002, Severity.WARN, "operator call rejected");

  /** Severity of an event; the log level of the same name. */
  public enum Severity {
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  private final int number;
  private final Severity severity;
  private final String text;

  LogEvent(int number, Severity severity, String text) {
    this.number = number;
    this.severity = severity;
    this.text = text;
  }

  /** Returns the number of the event, unique and stable. */
  public int number() {
    return number;
  }

  /** Returns the severity. */
  public Severity severity() {
    return severity;
  }

  /** Returns the fixed text of the event. */
  public String text() {
    return text;
  }
}
