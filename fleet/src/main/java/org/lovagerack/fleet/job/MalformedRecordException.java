package org.lovagerack.fleet.job;

/** A stored or forwarded record cannot be read. */
public final class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  public MalformedRecordException(String message) {
    super(message);
  }

  public MalformedRecordException(String message, Throwable cause) {
    super(message, cause);
  }
}
