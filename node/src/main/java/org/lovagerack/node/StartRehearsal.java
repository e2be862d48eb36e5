package org.lovagerack.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import org.lovagerack.eventloop.EventLoopTimer;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.node.settings.NodeSettings;

/**
 * Loads the classes of a start, for the archive that the build makes: it opens an entry VM on
 * loopback whose store does not answer, and makes some calls to it.
 */
public final class StartRehearsal {

  private static final EventLog LOG = new EventLog(StartRehearsal.class);
  private static final Duration LENGTH = Duration.ofSeconds(2);
  private static final String ANY_PORT = "127.0.0.1:0";

  /** No port of the loopback address listens here. */
  private static final String NO_STORE = "127.0.0.1:1";

  private StartRehearsal() {}

  /** Runs the rehearsal and exits. */
  public static void main(String[] arguments) {
    Vertx vertx = NodeMain.vertx();
    Context context = vertx.getOrCreateContext();
    NodeSettings settings =
        new NodeSettings(
            "rehearsal",
            "none",
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            NO_STORE,
            1,
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1));
    context.runOnContext(ignored -> start(vertx, context, settings));
  }

  private static void start(Vertx vertx, Context context, NodeSettings settings) {
    EntryNode node =
        new EntryNode(
            vertx, settings, new EventLoopTimer(vertx, context), new SplittableRandom(), 1);
    node.start()
        .onComplete(
            started -> {
              LOG.write(LogEvent.DAEMON_STARTED, "callers", node.clientPort());
              new HttpCaller(vertx, 1)
                  .call(
                      HttpMethod.POST,
                      "127.0.0.1:" + node.clientPort(),
                      "/",
                      Map.of(),
                      Buffer.buffer("{}"),
                      LENGTH,
                      reply -> LOG.write(LogEvent.DAEMON_STOPPED, "reply", reply));
            });
    vertx.setTimer(LENGTH.toMillis(), ignored -> System.exit(0));
  }
}
