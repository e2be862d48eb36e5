package org.lovagerack.submission;

import java.util.List;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** Status of a job as reported to its caller. */
public sealed interface JobStatus {

  /**
   * The job has not finished.
   *
   * @param finishedTasks number of tasks whose outcome is known
   * @param taskCount number of tasks
   */
  record Running(int finishedTasks, int taskCount) implements JobStatus {}

  /**
   * Every task succeeded.
   *
   * @param answers bodies of the answers, in the order of the tasks
   */
  record Completed(List<Bytes> answers) implements JobStatus {
    public Completed {
      answers = List.copyOf(answers);
    }
  }

  /**
   * The job failed as a whole.
   *
   * @param failure the cause; its outcome states whether the job may have run
   */
  record Failed(Failure failure) implements JobStatus {}
}
