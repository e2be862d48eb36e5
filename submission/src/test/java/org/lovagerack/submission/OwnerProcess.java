package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskListener;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.foundation.timer.DrivenTimer;

/** An owner process with a simulated timer. The test starts and ends its tasks explicitly. */
final class OwnerProcess implements TaskDispatcher {

  static final Failure OVERLOADED = Failure.notRun(ErrorKind.OVERLOADED, "queue is full");

  private static final SubmissionIdCodec CODEC = new SubmissionIdCodec(Bytes.ofText("cluster key"));

  final DrivenTimer timer = new DrivenTimer();
  final OwnerIdentity identity;
  JobService jobs;
  final List<Task> openTasks = new ArrayList<>();
  final List<String> starts;
  boolean refusesJobs;
  boolean isPaused;
  private Duration pendingAdvance = Duration.ZERO;

  /** Creates a process that records the body of every task it starts in {@code starts}. */
  OwnerProcess(int address, long incarnation, List<String> starts) {
    this.starts = starts;
    identity = new OwnerIdentity("fd-1", "10.0.0." + address + ":7400", incarnation);
    replaceService(SubmissionSettings.defaults());
  }

  /** Replaces the job service with one that has other settings. */
  void replaceService(SubmissionSettings settings) {
    jobs = new JobService(timer, this, settings, identity, CODEC, new JobObserver() {});
  }

  SubmitResult submit(SubmissionId id, String body, int tasks) {
    return jobs.submit(Optional.of(id), request(body, tasks), Bytes.ofText(body));
  }

  static JobRequest request(String name, int tasks) {
    List<TaskRequest> taskRequests =
        IntStream.range(0, tasks)
            .mapToObj(i -> Bytes.ofText(name + "/" + i))
            .map(body -> new TaskRequest(body, body.length(), Duration.ofMillis(100), false))
            .toList();
    return new JobRequest("service", "kind", "team", false, Duration.ofSeconds(2), taskRequests);
  }

  static Bytes answerTo(String body) {
    return Bytes.ofText("answer to " + body);
  }

  /** Advances the timer. While the process is paused, adds the time to the next advance. */
  void advance(Duration duration) {
    pendingAdvance = pendingAdvance.plus(duration);
    if (!isPaused) {
      timer.advance(pendingAdvance);
      pendingAdvance = Duration.ZERO;
    }
  }

  void togglePause() {
    isPaused = !isPaused;
    advance(Duration.ZERO);
  }

  @Override
  public Optional<Failure> admit(AdmissionRequest job) {
    return refusesJobs ? Optional.of(OVERLOADED) : Optional.empty();
  }

  @Override
  public TaskHandle submit(TaskSpec spec, TaskListener listener) {
    Task task = new Task(spec.body().toText(), listener);
    openTasks.add(task);
    return task;
  }

  /**
   * A task that fails immediately if it is cancelled before it starts. Cancelling has no effect
   * after the start.
   */
  final class Task implements TaskHandle {
    private final String body;
    private final TaskListener listener;
    private boolean started;

    private Task(String body, TaskListener listener) {
      this.body = body;
      this.listener = listener;
    }

    void start() {
      if (!started) {
        started = true;
        starts.add(body);
      }
    }

    void succeed() {
      start();
      end(new TaskOutcome.Succeeded(answerTo(body)));
    }

    /** Fails a task in flight with the given outcome, and a queued one with "not run". */
    void fail(RunOutcome outcome) {
      Failure failure =
          started
              ? new Failure(
                  ErrorKind.UPSTREAM_FAILED, outcome, "failed by the test", Optional.empty())
              : Failure.notRun(ErrorKind.NO_UPSTREAM, "failed by the test");
      end(new TaskOutcome.Failed(failure));
    }

    @Override
    public void cancel() {
      if (!started && openTasks.contains(this)) {
        fail(RunOutcome.NOT_RUN);
      }
    }

    private void end(TaskOutcome outcome) {
      openTasks.remove(this);
      listener.onOutcome(outcome);
    }
  }
}
