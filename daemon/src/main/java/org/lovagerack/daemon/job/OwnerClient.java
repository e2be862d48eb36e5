package org.lovagerack.daemon.job;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.submission.SubmissionId;

/** Forwards requests for submissions that another entry VM owns. Each consumer is called once. */
public interface OwnerClient {

  /** Forwards a submission. */
  void submit(SubmissionId id, Bytes body, Optional<Duration> wait, Consumer<Answer> reply);

  /** Requests the status of a job. */
  void status(SubmissionId id, Duration wait, Consumer<Answer> reply);

  /** Cancels a job. */
  void cancel(SubmissionId id, Consumer<Answer> reply);
}
