package org.lovagerack.dispatch;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** How a task ended. */
public sealed interface TaskOutcome {

  /**
   * The task succeeded.
   *
   * @param body body of the upstream's answer
   */
  record Succeeded(Bytes body) implements TaskOutcome {}

  /**
   * The task failed.
   *
   * @param failure the reason, and whether the task may have run
   */
  record Failed(Failure failure) implements TaskOutcome {}
}
