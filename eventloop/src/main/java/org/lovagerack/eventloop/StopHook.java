package org.lovagerack.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/** Lets a process finish its work when it receives SIGTERM or exits by itself. */
public final class StopHook {

  private StopHook() {}

  /**
   * Blocks the exit of the process until it has stopped as planned.
   *
   * @param stop begins the stop; runs on the event loop
   * @param afterwards runs when the stop is over, on another thread
   */
  public static void install(Context context, Supplier<Future<Void>> stop, Runnable afterwards) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  CountDownLatch stopped = new CountDownLatch(1);
                  context.runOnContext(
                      ignored -> stop.get().onComplete(done -> stopped.countDown()));
                  try {
                    stopped.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  afterwards.run();
                },
                "planned-stop"));
  }
}
