package org.lovagerack.dispatch;

import java.util.Optional;
import org.lovagerack.foundation.error.Failure;

/** Runs each task on an upstream. All calls must come from a single event loop. */
public interface TaskDispatcher {

  /**
   * Decides whether a job may be accepted now. The tasks of an admitted job must be submitted in
   * the same iteration of the event loop.
   *
   * @return the refusal, with the outcome "not run", or empty if the job is admitted
   */
  Optional<Failure> admit(AdmissionRequest job);

  /** Queues a task. The listener may be called before this method returns. */
  TaskHandle submit(TaskSpec task, TaskListener listener);
}
