package org.lovagerack.notes;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
   * Starts a call and calls one of the two consumers, once; an answer after the time limit is
   * dropped.
   *
   * @param onFailure receives the failure of the stage, a {@link TimeoutException}, or what {@code
   *     call} or {@code onValue} threw
   */
  static <T> void await(
      TimerService timer,
      Duration limit,
      Supplier<CompletionStage<T>> call,
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
        started(call)
            .whenComplete(
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

  private static <T> CompletionStage<T> started(Supplier<CompletionStage<T>> call) {
    try {
      return call.get();
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e);
      return CompletableFuture.failedStage(e);
    }
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
