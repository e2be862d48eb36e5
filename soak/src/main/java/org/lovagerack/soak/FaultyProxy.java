package org.lovagerack.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Forwards TCP connections on loopback and disturbs them. Bytes that a disturbance holds back are
 * delivered when it ends, as TCP does after a cut that is shorter than its patience.
 */
final class FaultyProxy {

  /** What happens to the bytes of all connections. */
  enum Mode {
    PASS,
    /** Each chunk is held for {@link #DELAY_MILLIS}. */
    DELAY,
    /** Open connections are reset, and new ones are closed at once. */
    RESET,
    /** Nothing passes from the caller to the server. */
    REQUESTS_HELD,
    /** Nothing passes from the server to the caller. */
    ANSWERS_HELD,
    /** Nothing passes at all; connections stay open. */
    SILENT;

    private boolean holdsRequests() {
      return this == REQUESTS_HELD || this == SILENT;
    }

    private boolean holdsAnswers() {
      return this == ANSWERS_HELD || this == SILENT;
    }
  }

  /** Many times a round trip on loopback, and well below the leases. */
  static final long DELAY_MILLIS = 60;

  private final Vertx vertx;
  private final TimerService timer;
  private final NetClient client;
  private final String serverHost;
  private final int serverPort;
  private final Set<Link> links = new LinkedHashSet<>();
  private Mode mode = Mode.PASS;

  /**
   * Creates a proxy.
   *
   * @param serverHost loopback address to which connections are forwarded
   * @param serverPort port to which connections are forwarded
   */
  FaultyProxy(Vertx vertx, TimerService timer, String serverHost, int serverPort) {
    this.vertx = vertx;
    this.timer = timer;
    this.client = vertx.createNetClient();
    this.serverHost = serverHost;
    this.serverPort = serverPort;
  }

  /** Listens on a loopback port, zero for a free one; the future's value is the port. */
  Future<Integer> listen(int port) {
    return vertx
        .createNetServer(new NetServerOptions().setReuseAddress(true))
        .connectHandler(this::connect)
        .listen(port, Loopback.HOST)
        .map(NetServer::actualPort);
  }

  /** Changes what happens to the connections. */
  void setMode(Mode newMode) {
    mode = newMode;
    for (Link link : Set.copyOf(links)) {
      if (mode == Mode.RESET) {
        link.close();
      } else {
        link.applyMode();
      }
    }
  }

  private void connect(NetSocket caller) {
    if (mode == Mode.RESET) {
      caller.close();
      return;
    }
    caller.pause();
    client
        .connect(serverPort, serverHost)
        .onSuccess(server -> new Link(caller, server).open())
        .onFailure(cause -> caller.close());
  }

  private final class Link {
    private final NetSocket caller;
    private final NetSocket server;

    Link(NetSocket caller, NetSocket server) {
      this.caller = caller;
      this.server = server;
    }

    void open() {
      links.add(this);
      forward(caller, server);
      forward(server, caller);
      applyMode();
    }

    void applyMode() {
      flow(caller, mode.holdsRequests());
      flow(server, mode.holdsAnswers());
    }

    void close() {
      links.remove(this);
      caller.close();
      server.close();
    }

    private void forward(NetSocket from, NetSocket to) {
      from.handler(
          bytes -> {
            if (mode == Mode.DELAY) {
              timer.after(Duration.ofMillis(DELAY_MILLIS), () -> to.write(bytes));
            } else {
              to.write(bytes);
            }
          });
      from.exceptionHandler(cause -> close());
      from.closeHandler(ignored -> close());
    }

    private static void flow(NetSocket socket, boolean held) {
      if (held) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }
}
