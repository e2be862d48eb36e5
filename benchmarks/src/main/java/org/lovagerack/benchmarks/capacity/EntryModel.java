package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.lovagerack.dispatch.DispatchObserver;
import org.lovagerack.dispatch.DispatchSettings;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.notes.Deployment;
import org.lovagerack.submission.JobObserver;
import org.lovagerack.submission.JobRequest;
import org.lovagerack.submission.JobService;
import org.lovagerack.submission.OwnerIdentity;
import org.lovagerack.submission.SubmissionId;
import org.lovagerack.submission.SubmissionIdCodec;
import org.lovagerack.submission.SubmissionSettings;
import org.lovagerack.submission.SubmitResult;
import org.lovagerack.submission.TaskRequest;

/** Job service and dispatcher of one entry VM in simulated time, with a trivial transport. */
final class EntryModel {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final Bytes DIGEST = Bytes.copyOf(new byte[32]);
  private static final TaskRequest TASK =
      new TaskRequest(Bytes.ofText("body"), 4, Duration.ofMillis(125), false);

  final DrivenTimer timer = new DrivenTimer();
  final Dispatcher dispatcher;
  final TrivialTransport transport;
  private final JobService jobs;
  private final Duration timeLimit;
  private long answered;

  /**
   * @param meanRunTime mean run time of a task; zero if tasks never end
   * @param timeLimit time limit of the jobs
   */
  EntryModel(Deployment deployment, Duration meanRunTime, Duration timeLimit) {
    this.timeLimit = timeLimit;
    transport = new TrivialTransport(timer, meanRunTime);
    dispatcher =
        new Dispatcher(
            timer, transport, new Random(1), DispatchSettings.defaults(), DispatchObserver.none());
    dispatcher.deploy(deployment);
    jobs =
        new JobService(
            timer,
            dispatcher,
            SubmissionSettings.defaults(),
            new OwnerIdentity("domain-0", "10.0.0.1:7400", 1),
            new SubmissionIdCodec(Bytes.ofText("key of the benchmark")),
            new JobObserver() {});
  }

  /** Issues an identifier, submits a job under it and subscribes to its answer. */
  void submit(int taskCount, String team) {
    try {
      List<SubmissionId> ids = jobs.issue(1);
      JobRequest request =
          new JobRequest(
              Samples.SERVICE, "kind", team, true, timeLimit, Collections.nCopies(taskCount, TASK));
      SubmitResult result = jobs.submit(Optional.of(ids.getFirst()), request, DIGEST);
      if (!(result instanceof SubmitResult.Accepted)) {
        throw new IllegalStateException("a job was not accepted: " + result);
      }
      jobs.await(ids.getFirst(), ANSWER_TIMEOUT, status -> answered++);
    } catch (LovagerackException e) {
      throw new IllegalStateException(e);
    }
  }

  long answered() {
    return answered;
  }
}
