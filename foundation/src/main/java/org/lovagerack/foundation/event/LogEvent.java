package org.lovagerack.foundation.event;

/**
 * All numbered log events, documented in {@code docs/log-events.md}. Numbers are grouped by area
 * (1000 daemon, 2000 submission, 3000 dispatch, 4000 notes, 5000 membership, 6000 platform, 7000
 * operator calls) and are never reused.
 */
public enum LogEvent {
  DAEMON_STARTED(1001, Severity.INFO, "entry daemon started"),
  DAEMON_STOPPED(1002, Severity.INFO, "entry daemon stopped"),
  DRAIN_STARTED(1003, Severity.INFO, "drain started"),
  DRAIN_FINISHED(1004, Severity.INFO, "drain finished"),
  SETTINGS_REJECTED(1005, Severity.ERROR, "settings rejected"),
  PAUSE_DETECTED(1006, Severity.WARN, "process was paused"),
  SETTINGS_RELOADED(1007, Severity.INFO, "settings file reloaded"),
  LOG_LINES_DROPPED(1008, Severity.WARN, "log lines dropped to limit the log volume"),
  WARM_UP_ENDED(1009, Severity.INFO, "warm-up ended"),
  UNEXPECTED_ERROR(1099, Severity.ERROR, "unexpected error"),
  SUBMISSION_REFUSED(2001, Severity.DEBUG, "submission refused"),
  JOB_FAILED(2002, Severity.DEBUG, "job failed"),
  JOB_ACCEPTED(2101, Severity.INFO, "job accepted"),
  JOB_REFUSED(2102, Severity.INFO, "job refused, not run"),
  JOB_ENDED(2103, Severity.INFO, "job ended"),
  REQUEST_REJECTED(2104, Severity.INFO, "client request rejected"),
  REQUEST_UNRESOLVED(2105, Severity.WARN, "client request ended with an unknown outcome"),
  JOB_ABANDONED(2106, Severity.INFO, "job ended because no client waits for it"),
  CLIENT_LIMITED(2107, Severity.WARN, "limits closed connections or refused requests"),
  TASK_STARTED(2111, Severity.INFO, "task started"),
  TASK_ENDED(2112, Severity.INFO, "task ended"),
  RUN_FOUND(2113, Severity.INFO, "inherited run found in progress"),
  RUN_LOST(2114, Severity.INFO, "run ended without a result"),
  START_REJECTED(2115, Severity.INFO, "worker rejected a start"),
  START_UNANSWERED(2116, Severity.WARN, "start was not answered"),
  RUN_STALLED(2117, Severity.WARN, "run makes no progress and is stopped"),
  LOSS_EXPLAINED(2118, Severity.INFO, "fate of the worker of a lost run is known"),
  TASK_NOT_REPEATED(2119, Severity.WARN, "task is not repeated after its workers were lost"),
  JOB_TRANSFERRED(2120, Severity.INFO, "job transferred to a shard whose workers can run it"),
  JOB_HANDED_BACK(2121, Severity.INFO, "job handed back, because no worker here can run it"),
  JOB_OUTCOME_UNKNOWN(2122, Severity.WARN, "job may have run in part and cannot be continued"),
  JOB_REDIRECTED(2123, Severity.INFO, "new job redirected to a less loaded shard"),
  RESERVATION_MADE(2124, Severity.DEBUG, "worker reserved for a task that fits nowhere now"),
  RESERVATION_DROPPED(2125, Severity.DEBUG, "reservation of a worker dropped"),
  UPSTREAM_EJECTED(3001, Severity.WARN, "upstream ejected"),
  UPSTREAM_READMITTED(3002, Severity.INFO, "upstream readmitted"),
  UPSTREAM_LEAVING(3003, Severity.INFO, "upstream is leaving"),
  CONNECTION_SUSPECT(3004, Severity.WARN, "connection to upstream is suspect"),
  WORKER_LISTED(3101, Severity.INFO, "worker added to the directory"),
  WORKER_UNLISTED(3102, Severity.INFO, "worker removed from the directory"),
  WORKER_JOINED(3103, Severity.INFO, "worker reported with the owner's fencing token"),
  WORKER_SUSPECT(3104, Severity.WARN, "worker is not reporting"),
  WORKER_RECOVERED(3105, Severity.INFO, "worker is reporting again"),
  WORKER_RESTARTED(3106, Severity.WARN, "worker restarted"),
  WORKER_UNRELIABLE(3107, Severity.WARN, "worker fails many of its runs"),
  WORKER_PAUSED(3108, Severity.WARN, "worker gets no tasks because nearly all of its runs fail"),
  WORKER_RELIABLE(3109, Severity.INFO, "worker completes its runs again"),
  REQUESTS_LOST(3110, Severity.WARN, "workers leave requests unanswered"),
  REQUESTS_ANSWERED(3111, Severity.INFO, "workers answer requests again"),
  RESULTS_WITHHELD(3112, Severity.INFO, "worker lists more results when these are acknowledged"),
  WORKER_COLD(3113, Severity.INFO, "worker is slow after its start"),
  WORKER_WARM(3114, Severity.INFO, "worker is no longer slow after its start"),
  NOTE_APPLIED(4001, Severity.INFO, "release note applied"),
  NOTE_PUBLISHED(4002, Severity.INFO, "release note published"),
  NOTE_REJECTED(4003, Severity.WARN, "release note rejected"),
  NOTE_STALE_IGNORED(4004, Severity.DEBUG, "older revision ignored"),
  NOTE_CONFLICT_IGNORED(4005, Severity.ERROR, "conflicting note for an applied revision ignored"),
  NOTE_GAP(4006, Severity.WARN, "release note is missing"),
  SNAPSHOT_WRITTEN(4007, Severity.INFO, "snapshot of the deployment written"),
  SNAPSHOT_FAILED(4008, Severity.WARN, "snapshot of the deployment not written or not readable"),
  CONFIGURATION_APPLIED(4101, Severity.INFO, "configuration in force"),
  CONFIGURATION_UNREADABLE(4102, Severity.WARN, "configuration cannot be read"),
  EVACUATION_REQUESTED(4103, Severity.INFO, "evacuation of a failure domain requested"),
  EVACUATION_WITHDRAWN(4104, Severity.INFO, "evacuation of a failure domain withdrawn"),
  EVACUATIONS_LEARNED(4105, Severity.INFO, "evacuations learned from a peer"),
  EVACUATIONS_NOT_SENT(
      4106, Severity.WARN, "evacuations do not fit into the header of calls to peers"),
  PEER_CONNECTED(5001, Severity.INFO, "peer connected"),
  PEER_DISCONNECTED(5002, Severity.INFO, "peer disconnected"),
  PEER_SUSPECT(5003, Severity.WARN, "peer is suspected to be down"),
  PEER_REJECTED(5004, Severity.WARN, "peer connection rejected"),
  SHARD_OWNER(5101, Severity.INFO, "shard has an owner"),
  SHARD_TAKEN(5102, Severity.INFO, "shard taken over"),
  SHARD_NOT_TAKEN(5103, Severity.INFO, "shard takeover failed"),
  SHARD_RECOVERED(5104, Severity.INFO, "durable jobs of former owners loaded"),
  SHARD_RESUMED(5105, Severity.INFO, "jobs of former owners resumed"),
  SHARD_LOST(5106, Severity.WARN, "shard lost to another owner"),
  OWNER_GONE(5107, Severity.WARN, "owner process no longer exists"),
  OWNER_SILENT(5108, Severity.WARN, "owner does not answer"),
  RECORD_DROPPED(5109, Severity.WARN, "record left to the next owner"),
  TOKEN_RAISED(5110, Severity.INFO, "fencing token raised above that of an island"),
  ISLAND_STARTED(5111, Severity.WARN, "failure domain serves its part of a shard as an island"),
  ISLAND_ENDED(5112, Severity.INFO, "failure domain can reach the owner again"),
  SHARDS_DECIDED(5113, Severity.INFO, "number of shards decided"),
  PLATFORM_UNAVAILABLE(6001, Severity.WARN, "platform call failed"),
  PLATFORM_RECOVERED(6002, Severity.INFO, "platform is available again"),
  ROW_UNREADABLE(6003, Severity.WARN, "stored row cannot be read"),
  ROW_HANDLER_FAILED(
      6004, Severity.ERROR, "handler of a stored row failed; the row is passed over"),
  PART_UNREADABLE(6005, Severity.WARN, "part of a message cannot be read and is passed over"),
  OPERATOR_CALL(7001, Severity.INFO, "operator call"),
  OPERATOR_REJECTED(7002, Severity.WARN, "operator call rejected");

  /** Severity of an event, logged at the level of the same name. */
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
