package org.lovagerack.fleet.job;

/** Thrown when a stored or forwarded record cannot be decoded. */
public final class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  public MalformedRecordException(String message) {
    super(message);
  }

  public MalformedRecordException(String message, Throwable cause) {
    super(message, cause);
  }
}
