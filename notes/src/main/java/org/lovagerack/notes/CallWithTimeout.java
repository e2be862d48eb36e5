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

/** Runs a call with a timeout, so that a lost answer cannot block its caller forever. */
final class CallWithTimeout {

  private static final EventLog LOG = new EventLog(CallWithTimeout.class);

  private boolean completed;

  private CallWithTimeout() {}

  /**
   * Starts a call and then calls exactly one of the two consumers, once. An answer that arrives
   * after the timeout is dropped.
   *
   * @param onFailure receives the failure of the stage, a {@link TimeoutException}, or the
   *     exception that {@code call} or {@code onValue} threw
   */
  static <T> void await(
      TimerService timer,
      Duration timeout,
      Supplier<CompletionStage<T>> call,
      Consumer<T> onValue,
      Consumer<Throwable> onFailure) {
    CallWithTimeout state = new CallWithTimeout();
    TimerSubscription timeoutTimer =
        timer.after(
            timeout,
            () -> {
              if (state.markCompleted()) {
                onFailure.accept(new TimeoutException("no answer within " + timeout));
              }
            });
    var unused =
        start(call)
            .whenComplete(
                (value, failure) -> {
                  if (!state.markCompleted()) {
                    return;
                  }
                  timeoutTimer.cancel();
                  if (failure == null) {
                    deliver(value, onValue, onFailure);
                  } else {
                    onFailure.accept(unwrap(failure));
                  }
                });
  }

  private static <T> CompletionStage<T> start(Supplier<CompletionStage<T>> call) {
    try {
      return call.get();
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e);
      return CompletableFuture.failedStage(e);
    }
  }

  /**
   * Delivers a value. An exception of the consumer is passed to {@code onFailure}, because the
   * stage would swallow it and the caller would wait indefinitely.
   */
  private static <T> void deliver(T value, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    try {
      onValue.accept(value);
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e);
      onFailure.accept(e);
    }
  }

  /** Returns whether this is the first completion. */
  private boolean markCompleted() {
    boolean first = !completed;
    completed = true;
    return first;
  }

  private static Throwable unwrap(Throwable failure) {
    boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
    return wrapped ? failure.getCause() : failure;
  }
}
