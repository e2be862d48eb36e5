package org.lovagerack.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/** Shutdown hook that allows a process to finish its work on SIGTERM or on exit. */
public final class StopHook {

  private StopHook() {}

  /**
   * Blocks the exit of the process until its graceful shutdown is complete.
   *
   * @param stop starts the shutdown; runs on the event loop
   * @param afterStop runs on the hook's thread when the shutdown is complete
   */
  public static void install(Context context, Supplier<Future<Void>> stop, Runnable afterStop) {
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
                  afterStop.run();
                },
                "planned-stop"));
  }
}
