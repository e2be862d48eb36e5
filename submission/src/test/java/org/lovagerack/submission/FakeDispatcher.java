package org.lovagerack.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagerack.dispatch.JobShape;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskListener;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** A dispatcher whose tasks start and end when the test says so. */
final class FakeDispatcher implements TaskDispatcher {

  static final Failure OVERLOADED = Failure.notRun(ErrorKind.OVERLOADED, "queue is full");

  final List<Task> open = new ArrayList<>();
  private final List<TaskSpec> starts;
  boolean refuses;

  /** Creates a dispatcher that adds every task it starts to {@code starts}. */
  FakeDispatcher(List<TaskSpec> starts) {
    this.starts = starts;
  }

  static Bytes answerTo(Bytes body) {
    return Bytes.ofText("answer to " + body.toText());
  }

  @Override
  public Optional<Failure> admit(JobShape job) {
    return refuses ? Optional.of(OVERLOADED) : Optional.empty();
  }

  @Override
  public TaskHandle submit(TaskSpec spec, TaskListener listener) {
    Task task = new Task(spec, listener);
    open.add(task);
    return task;
  }

  /** A queued task that is cancelled fails at once; one in flight ends when the test ends it. */
  final class Task implements TaskHandle {
    private final TaskSpec spec;
    private final TaskListener listener;
    private boolean started;

    private Task(TaskSpec spec, TaskListener listener) {
      this.spec = spec;
      this.listener = listener;
    }

    void start() {
      if (!started) {
        started = true;
        starts.add(spec);
      }
    }

    void succeed() {
      start();
      end(new TaskOutcome.Succeeded(answerTo(spec.body())));
    }

    /** Fails the task with the outcome if it is in flight, and with "not run" if it is queued. */
    void fail(RunOutcome outcome) {
      RunOutcome truthful = started ? outcome : RunOutcome.NOT_RUN;
      ErrorKind kind = started ? ErrorKind.UPSTREAM_FAILED : ErrorKind.NO_UPSTREAM;
      end(new TaskOutcome.Failed(new Failure(kind, truthful, "by test", Optional.empty())));
    }

    @Override
    public void cancel() {
      if (!started && open.contains(this)) {
        end(new TaskOutcome.Failed(Failure.notRun(ErrorKind.CANCELLED, "cancelled in queue")));
      }
    }

    private void end(TaskOutcome outcome) {
      if (open.remove(this)) {
        listener.onOutcome(outcome);
      }
    }
  }
}
