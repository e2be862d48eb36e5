package org.lovagerack.foundation.error;

/** A checked exception that carries a {@link Failure}. */
public final class LovagerackException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  public LovagerackException(Failure failure) {
    super(failure.kind() + ": " + failure.detail());
    this.failure = failure;
  }

  public LovagerackException(Failure failure, Throwable cause) {
    super(failure.kind() + ": " + failure.detail(), cause);
    this.failure = failure;
  }

  /** Returns the failure. */
  public Failure failure() {
    return failure;
  }
}
