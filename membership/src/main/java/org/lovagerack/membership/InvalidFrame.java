package org.lovagerack.membership;

import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Creates the exception for a frame that violates the peer protocol. */
final class InvalidFrame {

  private InvalidFrame() {}

  static LovagerackException because(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.INVALID_FRAME, detail));
  }
}
