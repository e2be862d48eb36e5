package org.lovagerack.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.HttpReply;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.PlatformFixtures;

/** An entry VM: its process, which is restarted after every exit, and its proxies. */
final class SoakVm {

  private static final Duration READINESS_PERIOD = Duration.ofMillis(200);
  private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(1);

  /** Longer than the deadline of the jobs, so a graceful shutdown must not interrupt any. */
  private static final Duration STOP_TIMEOUT = Duration.ofMillis(2500);

  /** Gives two shards with the default of eight workers, so that shards have different owners. */
  private static final int WORKERS_PER_SHARD = 4;

  private final int index;
  private final TimerService timer;
  private final Context context;
  private final HttpCaller caller;
  private final Disruptions disruptions;
  private final GuaranteeChecker checker;
  private final Consumer<String> violationListener;
  private final Path settingsFile;
  private final Path log;
  private final boolean peersUseProxy;
  private final int clientPort = Loopback.freePort();
  private final int peerPort = Loopback.freePort();
  private final int readinessPort = Loopback.freePort();
  private final FaultyProxy peerProxy;
  private final FaultyProxy clientProxy;
  private final FaultyProxy storeProxy;
  private final TemporaryOverride<FaultyProxy.Mode> peerMode;
  private final TemporaryOverride<FaultyProxy.Mode> clientMode;
  private final TemporaryOverride<FaultyProxy.Mode> storeMode;
  private int clientProxyPort;
  private VmProcess process;
  private Runnable endDowntime = () -> {};
  private Duration restartDelay = Duration.ZERO;
  private boolean exitExpected;
  private boolean alive;
  private boolean hasResponded;
  private boolean ready;
  private boolean closed;
  private int incarnation;

  /**
   * Creates an entry VM.
   *
   * @param peersUseProxy whether other entry VMs connect through a proxy, which accepts connections
   *     also while the process is down
   */
  SoakVm(
      int index,
      Vertx vertx,
      Context context,
      TimerService timer,
      HttpCaller caller,
      Disruptions disruptions,
      GuaranteeChecker checker,
      Consumer<String> violationListener,
      Path folder,
      int storePort,
      boolean peersUseProxy) {
    this.index = index;
    this.timer = timer;
    this.context = context;
    this.caller = caller;
    this.disruptions = disruptions;
    this.checker = checker;
    this.violationListener = violationListener;
    this.peersUseProxy = peersUseProxy;
    this.settingsFile = folder.resolve("vm-" + index + ".json");
    this.log = folder.resolve("vm-" + index + ".log");
    this.peerProxy = new FaultyProxy(vertx, timer, Loopback.HOST, peerPort);
    this.clientProxy = new FaultyProxy(vertx, timer, Loopback.HOST, clientPort);
    this.storeProxy = new FaultyProxy(vertx, timer, "127.0.0.1", storePort);
    this.peerMode = new TemporaryOverride<>(timer, FaultyProxy.Mode.PASS, peerProxy::setMode);
    this.clientMode = new TemporaryOverride<>(timer, FaultyProxy.Mode.PASS, clientProxy::setMode);
    this.storeMode = new TemporaryOverride<>(timer, FaultyProxy.Mode.PASS, storeProxy::setMode);
  }

  /** Starts the proxies, writes the settings and starts the first process. */
  Future<Void> open() {
    return Future.all(peerProxy.listen(0), clientProxy.listen(0), storeProxy.listen(0))
        .map(
            ports -> {
              clientProxyPort = ports.resultAt(1);
              writeSettings(ports.resultAt(0), ports.resultAt(2));
              start();
              timer.every(READINESS_PERIOD, this::checkReadiness);
              return null;
            });
  }

  /** Returns the proxied address for clients. */
  String clientAddress() {
    return Loopback.address(clientProxyPort);
  }

  /** Returns the client address without a proxy. */
  String directAddress() {
    return Loopback.address(clientPort);
  }

  /** Returns whether the process reported that it is ready. */
  boolean isReady() {
    return ready;
  }

  /** Returns the number of processes started so far. */
  int incarnation() {
    return incarnation;
  }

  /** Returns the proxy mode of one kind of connections. */
  TemporaryOverride<FaultyProxy.Mode> linkMode(Fault.LinkKind kind) {
    return switch (kind) {
      case STORE -> storeMode;
      case PEER -> peerMode;
      case CLIENT -> clientMode;
      case WORKER -> throw new IllegalArgumentException("WORKER connections do not belong to a VM");
    };
  }

  /** Sends a signal to the process, unless it is already down. */
  void inject(Fault.ProcessAction action, Duration duration) {
    if (!alive) {
      return;
    }
    switch (action) {
      case KILL -> {
        exitExpected = true;
        restartDelay = duration;
        endDowntime = disruptions.begin(disruptionSubject());
        process.kill();
      }
      case TERMINATE -> {
        exitExpected = true;
        restartDelay = duration;
        Runnable endDisruption = disruptions.beginPlanned(disruptionSubject());
        process.onExit(() -> context.runOnContext(ignored -> endDisruption.run()));
        process.terminate();
      }
      case PAUSE -> {
        VmProcess suspended = process;
        Runnable endDisruption = disruptions.begin(disruptionSubject());
        suspended.suspend();
        timer.after(
            duration,
            () -> {
              suspended.resume();
              endDisruption.run();
            });
      }
      case RELOAD -> {
        // SIGHUP ends a JVM that has not reached its main method, whatever the program does.
        if (hasResponded) {
          process.reload();
        }
      }
    }
  }

  /** Kills the process without starting a new one. */
  void close() {
    closed = true;
    process.kill();
  }

  private void start() {
    incarnation++;
    alive = true;
    hasResponded = false;
    exitExpected = false;
    checker.recordRestart(index);
    process = VmProcess.start(settingsFile, log);
    process.onExit(() -> context.runOnContext(ignored -> handleExit()));
  }

  private void handleExit() {
    alive = false;
    ready = false;
    if (closed) {
      return;
    }
    if (!exitExpected) {
      violationListener.accept("the process of VM " + index + " exited unexpectedly");
    }
    Runnable endKillDisruption = endDowntime;
    Runnable endRestartDisruption = disruptions.begin(disruptionSubject());
    endDowntime =
        () -> {
          endKillDisruption.run();
          endRestartDisruption.run();
        };
    timer.after(restartDelay, this::start);
  }

  private void checkReadiness() {
    int probedIncarnation = incarnation;
    caller.call(
        HttpMethod.GET,
        Loopback.address(readinessPort),
        "/readiness",
        Map.of(),
        Buffer.buffer(),
        READINESS_TIMEOUT,
        reply -> {
          boolean isCurrent = alive && probedIncarnation == incarnation;
          hasResponded |= isCurrent && reply instanceof HttpReply.Response;
          ready =
              isCurrent && reply instanceof HttpReply.Response response && response.status() == 200;
          if (ready) {
            endDowntime.run();
            endDowntime = () -> {};
          }
        });
  }

  private String disruptionSubject() {
    return "process " + index;
  }

  private void writeSettings(int peerProxyPort, int storeProxyPort) {
    ObjectNode root =
        PlatformFixtures.nodeSettings(
                "vm-" + index,
                Loopback.HOST,
                clientPort,
                readinessPort,
                peerPort,
                Loopback.address(storeProxyPort))
            .put(
                "advertisedPeerAddress", Loopback.address(peersUseProxy ? peerProxyPort : peerPort))
            .put("workersPerShard", WORKERS_PER_SHARD)
            .put("stopWithinMillis", STOP_TIMEOUT.toMillis());
    try {
      Files.writeString(settingsFile, root.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
