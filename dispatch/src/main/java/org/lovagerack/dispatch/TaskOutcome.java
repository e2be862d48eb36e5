package org.lovagerack.dispatch;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** How a task ended. */
public sealed interface TaskOutcome {

  /**
   * The task ran once and its answer is here.
   *
   * @param body body of the upstream's answer
   */
  record Succeeded(Bytes body) implements TaskOutcome {}

  /**
   * The task failed.
   *
   * @param failure the reason, with what is known about the execution
   */
  record Failed(Failure failure) implements TaskOutcome {}
}
