package org.lovagerack.notes;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** Waits for a call for a limited time, so that one lost answer cannot stop its caller forever. */
final class LimitedCall {

  private static final EventLog LOG = new EventLog(LimitedCall.class);

  private boolean settled;

  private LimitedCall() {}

  /**
   * Calls one of the two consumers, once; an answer after the time limit is dropped.
   *
   * @param onFailure receives the failure of the stage, a {@link TimeoutException}, or what {@code
   *     onValue} threw
   */
  static <T> void await(
      TimerService timer,
      Duration limit,
      CompletionStage<T> call,
      Consumer<T> onValue,
      Consumer<Throwable> onFailure) {
    LimitedCall state = new LimitedCall();
    TimerSubscription expiry =
        timer.after(
            limit,
            () -> {
              if (state.settle()) {
                onFailure.accept(new TimeoutException("no answer within " + limit));
              }
            });
    var unused =
        call.whenComplete(
            (value, failure) -> {
              if (!state.settle()) {
                return;
              }
              expiry.cancel();
              if (failure == null) {
                pass(value, onValue, onFailure);
              } else {
                onFailure.accept(unwrapped(failure));
              }
            });
  }

  /** A stage would swallow what its callback throws, and the caller would wait forever. */
  private static <T> void pass(T value, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    try {
      onValue.accept(value);
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e);
      onFailure.accept(e);
    }
  }

  private boolean settle() {
    boolean first = !settled;
    settled = true;
    return first;
  }

  private static Throwable unwrapped(Throwable failure) {
    boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
    return wrapped ? failure.getCause() : failure;
  }
}
