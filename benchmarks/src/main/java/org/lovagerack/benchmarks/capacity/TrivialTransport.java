package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.Random;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** Transport that answers each attempt after a random time, or never. */
final class TrivialTransport implements UpstreamTransport {

  private static final Bytes ANSWER = Bytes.ofText("answer");

  private final TimerService timer;
  private final Duration meanRunTime;
  private final Random random = new Random(1);
  private long starts;

  /**
   * @param meanRunTime mean of the uniformly distributed run times; zero for no answers
   */
  TrivialTransport(TimerService timer, Duration meanRunTime) {
    this.timer = timer;
    this.meanRunTime = meanRunTime;
  }

  long starts() {
    return starts;
  }

  @Override
  public Attempt start(AttemptRequest request, AttemptListener listener) {
    starts++;
    if (meanRunTime.isZero()) {
      return () -> {};
    }
    Duration runTime =
        Duration.ofNanos((long) (meanRunTime.toNanos() * (0.5 + random.nextDouble())));
    TimerSubscription answer =
        timer.after(
            runTime, () -> listener.onResult(new AttemptResult.Answered(200, ANSWER, false)));
    return answer::cancel;
  }

  @Override
  public void limitConnections(String upstream, int connections) {}

  @Override
  public void closeIdleConnections(String upstream) {}
}
