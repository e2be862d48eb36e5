package org.lovagerack.notes;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** Waits for a call for a limited time, so that one lost answer cannot stop its caller forever. */
final class LimitedCall {

  private boolean settled;

  private LimitedCall() {}

  /**
   * Calls exactly one of the two consumers, once; an answer after the time limit is dropped.
   *
   * @param onFailure receives the failure of the stage, or a {@link TimeoutException}
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
    // The stage that whenComplete returns is not used: a consumer that fails is a defect, and the
    // event loop of the caller has nowhere to pass it on.
    var unused =
        call.whenComplete(
            (value, failure) -> {
              if (!state.settle()) {
                return;
              }
              expiry.cancel();
              if (failure == null) {
                onValue.accept(value);
              } else {
                onFailure.accept(unwrapped(failure));
              }
            });
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
