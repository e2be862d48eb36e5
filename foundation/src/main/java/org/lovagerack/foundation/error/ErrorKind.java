package org.lovagerack.foundation.error;

import java.util.Locale;

/**
 * All error kinds, each with its HTTP status, the exit code of the command line, and whether "not
 * run" is guaranteed. They are documented in {@code docs/errors.md}.
 */
public enum ErrorKind {
  MALFORMED_REQUEST(400, 2, Guarantee.NOT_RUN, "The request could not be read"),
  BODY_TOO_LARGE(413, 2, Guarantee.NOT_RUN, "The request body is over the limit"),
  TOO_MANY_TASKS(422, 2, Guarantee.NOT_RUN, "The job has more tasks than allowed"),
  UNKNOWN_SERVICE(404, 3, Guarantee.NOT_RUN, "No such service is in force"),
  INVALID_SUBMISSION_ID(400, 2, Guarantee.NOT_RUN, "The submission identifier is not valid"),
  SUBMISSION_ID_REUSED(409, 4, Guarantee.NONE, "The identifier belongs to another request body"),
  SUBMISSION_EXPIRED(410, 4, Guarantee.NONE, "The submission identifier has expired"),
  NOT_FOUND(404, 3, Guarantee.NONE, "There is no such resource"),
  DEADLINE_PASSED(422, 5, Guarantee.NOT_RUN, "The deadline has passed already"),
  IMPOSSIBLE_JOB(422, 5, Guarantee.NOT_RUN, "No upstream could finish a task by the deadline"),
  UNSUPPORTED_JOB(501, 2, Guarantee.NOT_RUN, "The job asks for something that is not offered"),
  OVERLOADED(503, 6, Guarantee.NOT_RUN, "There is no capacity for the job before its deadline"),
  QUEUE_FULL(503, 6, Guarantee.NOT_RUN, "The queue of the service is full"),
  QUOTA_EXCEEDED(429, 6, Guarantee.NOT_RUN, "The quota of the team is used up"),
  NO_UPSTREAM(503, 6, Guarantee.NOT_RUN, "The service has no upstream that accepts tasks"),
  DRAINING(503, 6, Guarantee.NOT_RUN, "The entry VM is stopping"),
  NOT_READY(503, 6, Guarantee.NOT_RUN, "The entry VM does not know the deployment yet"),
  CANCELLED(409, 7, Guarantee.NONE, "The job was cancelled"),
  DEADLINE_EXCEEDED(504, 5, Guarantee.NONE, "The deadline passed before the job finished"),
  UPSTREAM_FAILED(502, 8, Guarantee.NONE, "An upstream answered that the task failed"),
  OUTCOME_UNKNOWN(502, 8, Guarantee.NONE, "The outcome of a task cannot be known"),
  OWNER_LOST(502, 8, Guarantee.NONE, "The entry VM that owned the submission is gone"),
  OWNER_UNREACHABLE(503, 6, Guarantee.NONE, "The entry VM that owns the submission is unreachable"),
  ENTRY_UNREACHABLE(503, 6, Guarantee.NONE, "No entry VM answered"),
  PLATFORM_UNAVAILABLE(503, 9, Guarantee.NONE, "The platform is unavailable"),
  NOTE_INVALID(422, 2, Guarantee.NONE, "The release note is not valid"),
  NOTE_CONFLICT(409, 4, Guarantee.NONE, "Another release note was published first"),
  PUBLISH_UNKNOWN(504, 9, Guarantee.NONE, "Whether the release note was accepted is unknown"),
  UNAUTHORIZED(401, 10, Guarantee.NONE, "The key is missing or wrong"),
  SETTINGS_INVALID(500, 2, Guarantee.NONE, "The settings are not valid"),
  INVALID_FRAME(400, 2, Guarantee.NONE, "A frame of the peer protocol could not be read"),
  INTERNAL(500, 1, Guarantee.NONE, "Internal error");

  private enum Guarantee {
    NOT_RUN,
    NONE
  }

  private final int httpStatus;
  private final int exitCode;
  private final Guarantee guarantee;
  private final String title;

  ErrorKind(int httpStatus, int exitCode, Guarantee guarantee, String title) {
    this.httpStatus = httpStatus;
    this.exitCode = exitCode;
    this.guarantee = guarantee;
    this.title = title;
  }

  /** Returns the HTTP status of a response with this error. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the exit code of the command line for an error of this kind. */
  public int exitCode() {
    return exitCode;
  }

  /**
   * Returns whether an error of this kind, decided by the owner of the submission, always means
   * that no task was started.
   */
  public boolean guaranteesNotRun() {
    return guarantee == Guarantee.NOT_RUN;
  }

  /** Returns a one-line title for users. */
  public String title() {
    return title;
  }

  /** Returns the name used in responses, such as {@code deadline-passed}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
