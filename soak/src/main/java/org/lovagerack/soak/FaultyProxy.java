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
 * TCP proxy on loopback that injects faults into the connections it forwards. Bytes that a fault
 * holds back are delivered when it ends, as TCP does after an outage shorter than its timeout.
 */
final class FaultyProxy {

  /** How the proxy treats all connections. */
  enum Mode {
    /** Bytes are forwarded at once. */
    PASS,
    /** Each chunk is delayed by {@link #DELAY_MILLIS}. */
    DELAY,
    /** Open connections are closed, and new ones are closed at once. */
    RESET,
    /** Bytes from the caller to the server are held back. */
    REQUESTS_HELD,
    /** Bytes from the server to the caller are held back. */
    ANSWERS_HELD,
    /** Bytes are held back in both directions; connections stay open. */
    SILENT;

    private boolean holdsRequests() {
      return this == REQUESTS_HELD || this == SILENT;
    }

    private boolean holdsAnswers() {
      return this == ANSWERS_HELD || this == SILENT;
    }
  }

  /** Many times a loopback round trip, and well below the leases. */
  static final long DELAY_MILLIS = 60;

  private final Vertx vertx;
  private final TimerService timer;
  private final NetClient client;
  private final String serverHost;
  private final int serverPort;
  private final Set<Connection> connections = new LinkedHashSet<>();
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

  /** Listens on a loopback port, or any free one if 0; the future's value is the port. */
  Future<Integer> listen(int port) {
    return vertx
        .createNetServer(new NetServerOptions().setReuseAddress(true))
        .connectHandler(this::connect)
        .listen(port, Loopback.HOST)
        .map(NetServer::actualPort);
  }

  /** Changes the mode of all connections. */
  void setMode(Mode newMode) {
    mode = newMode;
    for (Connection connection : Set.copyOf(connections)) {
      if (mode == Mode.RESET) {
        connection.close();
      } else {
        connection.applyMode();
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
        .onSuccess(server -> new Connection(caller, server).open())
        .onFailure(cause -> caller.close());
  }

  private final class Connection {
    private final NetSocket caller;
    private final NetSocket server;

    Connection(NetSocket caller, NetSocket server) {
      this.caller = caller;
      this.server = server;
    }

    void open() {
      connections.add(this);
      forward(caller, server);
      forward(server, caller);
      applyMode();
    }

    void applyMode() {
      setPaused(caller, mode.holdsRequests());
      setPaused(server, mode.holdsAnswers());
    }

    void close() {
      connections.remove(this);
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

    private static void setPaused(NetSocket socket, boolean paused) {
      if (paused) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }
}
