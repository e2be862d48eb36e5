package org.lovagerack.submission;

import java.util.List;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/** Status of a job as its caller reads it. */
public sealed interface JobStatus {

  /**
   * The job is not finished.
   *
   * @param finishedTasks number of tasks that have an answer
   * @param taskCount number of tasks
   */
  record Running(int finishedTasks, int taskCount) implements JobStatus {}

  /**
   * Every task has an answer.
   *
   * @param answers bodies of the answers, in order of the tasks
   */
  record Completed(List<Bytes> answers) implements JobStatus {
    public Completed {
      answers = List.copyOf(answers);
    }
  }

  /**
   * The job failed as a whole.
   *
   * @param failure the reason, with what is known about the execution
   */
  record Failed(Failure failure) implements JobStatus {}
}
