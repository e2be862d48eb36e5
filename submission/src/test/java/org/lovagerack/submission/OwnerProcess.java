package org.lovagerack.submission;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.DrivenTimer;

/** One process with its own timer and dispatcher. */
final class OwnerProcess {

  static final SubmissionIdCodec CODEC = new SubmissionIdCodec(Bytes.ofText("cluster key"));

  final DrivenTimer timer = new DrivenTimer();
  final FakeDispatcher dispatcher;
  final OwnerIdentity identity;
  final JobService jobs;
  Duration paused = Duration.ZERO;
  boolean isPaused;

  OwnerProcess(int address, long incarnation, List<TaskSpec> starts) {
    identity = new OwnerIdentity("fd-1", "10.0.0." + address + ":7400", incarnation);
    dispatcher = new FakeDispatcher(starts);
    SubmissionSettings settings = SubmissionSettings.defaults();
    jobs = new JobService(timer, dispatcher, settings, identity, CODEC, new NoObserver());
  }

  void advance(Duration duration) {
    if (isPaused) {
      paused = paused.plus(duration);
    } else {
      timer.advance(duration);
    }
  }

  void togglePause() {
    isPaused = !isPaused;
    if (!isPaused) {
      timer.advance(paused);
      paused = Duration.ZERO;
    }
  }

  static JobRequest request(String name, int tasks) {
    return new JobRequest(
        "service",
        "kind",
        "team",
        false,
        Duration.ofSeconds(2),
        IntStream.range(0, tasks).mapToObj(i -> task(name + "/" + i)).toList());
  }

  private static TaskRequest task(String body) {
    return new TaskRequest(Bytes.ofText(body), body.length(), Duration.ofMillis(100), false);
  }
}
