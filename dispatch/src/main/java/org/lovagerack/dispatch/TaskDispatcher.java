package org.lovagerack.dispatch;

import java.util.Optional;
import org.lovagerack.foundation.error.Failure;

/** Takes tasks and runs each on an upstream. All calls come from one event loop. */
public interface TaskDispatcher {

  /**
   * Decides whether a job may be accepted now. A job that is admitted must be submitted in the same
   * turn of the event loop.
   *
   * @return the refusal, always "not run", or empty if the job is admitted
   */
  Optional<Failure> admit(JobShape job);

  /** Queues a task. The listener may be called before this method returns. */
  TaskHandle submit(TaskSpec task, TaskListener listener);
}
