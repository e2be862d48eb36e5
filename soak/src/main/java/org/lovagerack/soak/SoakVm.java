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
import org.lovagerack.platform.standin.PlatformEntries;

/** One entry VM: its process, which is started again whenever it ends, and its proxies. */
final class SoakVm {

  private static final Duration READINESS_PERIOD = Duration.ofMillis(200);
  private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(1);

  /** Longer than every objective of the soak's jobs, so that a planned stop has to cut none. */
  private static final Duration STOP_WITHIN = Duration.ofMillis(2500);

  /** Two shards with the usual eight workers, so that owners differ. */
  private static final int WORKERS_PER_SHARD = 4;

  private final int index;
  private final TimerService timer;
  private final Context context;
  private final HttpCaller caller;
  private final Disruptions disruptions;
  private final Promises promises;
  private final Consumer<String> violation;
  private final Path settingsFile;
  private final Path log;
  private final int clientPort = Loopback.freePort();
  private final int peerPort = Loopback.freePort();
  private final int readinessPort = Loopback.freePort();
  private final FaultyProxy peerProxy;
  private final FaultyProxy clientProxy;
  private final FaultyProxy storeProxy;
  private final Toggle<FaultyProxy.Mode> peerMode;
  private final Toggle<FaultyProxy.Mode> clientMode;
  private final Toggle<FaultyProxy.Mode> storeMode;
  private int clientProxyPort;
  private VmProcess process;
  private Runnable endOfDowntime = () -> {};
  private Duration downtime = Duration.ZERO;
  private boolean exitExpected;
  private boolean alive;
  private boolean reached;
  private boolean ready;
  private boolean closed;
  private int incarnation;

  SoakVm(
      int index,
      Vertx vertx,
      Context context,
      TimerService timer,
      HttpCaller caller,
      Disruptions disruptions,
      Promises promises,
      Consumer<String> violation,
      Path folder,
      int storePort) {
    this.index = index;
    this.timer = timer;
    this.context = context;
    this.caller = caller;
    this.disruptions = disruptions;
    this.promises = promises;
    this.violation = violation;
    this.settingsFile = folder.resolve("vm-" + index + ".json");
    this.log = folder.resolve("vm-" + index + ".log");
    this.peerProxy = new FaultyProxy(vertx, timer, Loopback.HOST, peerPort);
    this.clientProxy = new FaultyProxy(vertx, timer, Loopback.HOST, clientPort);
    this.storeProxy = new FaultyProxy(vertx, timer, "127.0.0.1", storePort);
    this.peerMode = new Toggle<>(timer, FaultyProxy.Mode.PASS, peerProxy::setMode);
    this.clientMode = new Toggle<>(timer, FaultyProxy.Mode.PASS, clientProxy::setMode);
    this.storeMode = new Toggle<>(timer, FaultyProxy.Mode.PASS, storeProxy::setMode);
  }

  /** Opens the proxies, writes the settings and starts the first process. */
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

  /** Returns the address for clients. */
  String clientAddress() {
    return Loopback.address(clientProxyPort);
  }

  /** Returns the address that no proxy disturbs. */
  String directAddress() {
    return Loopback.address(clientPort);
  }

  /** Returns whether the process told that it is ready. */
  boolean isReady() {
    return ready;
  }

  /** Returns the number of processes that were started. */
  int incarnation() {
    return incarnation;
  }

  /** Returns the property of one kind of connections. */
  Toggle<FaultyProxy.Mode> link(Fault.LinkKind kind) {
    return switch (kind) {
      case STORE -> storeMode;
      case PEER -> peerMode;
      case CLIENT -> clientMode;
      case WORKER -> throw new IllegalArgumentException("connections to workers belong to no VM");
    };
  }

  /** Sends a signal to the process; a process that is down already gets none. */
  void disturb(Fault.ProcessAction action, Duration lasting) {
    if (!alive) {
      return;
    }
    switch (action) {
      case KILL -> {
        exitExpected = true;
        downtime = lasting;
        endOfDowntime = disruptions.begin(subject());
        process.kill();
      }
      case TERMINATE -> {
        exitExpected = true;
        downtime = lasting;
        Runnable end = disruptions.beginPlanned(subject());
        process.onExit(() -> context.runOnContext(ignored -> end.run()));
        process.terminate();
      }
      case PAUSE -> {
        VmProcess paused = process;
        Runnable end = disruptions.begin(subject());
        paused.pause();
        timer.after(
            lasting,
            () -> {
              paused.resume();
              end.run();
            });
      }
      case RELOAD -> {
        // A JVM that has not reached its main method ends by SIGHUP, whatever the program does.
        if (reached) {
          process.reload();
        }
      }
    }
  }

  /** Ends the process for good. */
  void close() {
    closed = true;
    process.kill();
  }

  private void start() {
    incarnation++;
    alive = true;
    reached = false;
    exitExpected = false;
    promises.restarted(index);
    process = VmProcess.start(settingsFile, log);
    process.onExit(() -> context.runOnContext(ignored -> exited()));
  }

  private void exited() {
    alive = false;
    ready = false;
    if (closed) {
      return;
    }
    if (!exitExpected) {
      violation.accept("the process of VM " + index + " ended by itself");
    }
    Runnable endOfKill = endOfDowntime;
    Runnable endOfRestart = disruptions.begin(subject());
    endOfDowntime =
        () -> {
          endOfKill.run();
          endOfRestart.run();
        };
    timer.after(downtime, this::start);
  }

  private void checkReadiness() {
    int asked = incarnation;
    caller.call(
        HttpMethod.GET,
        Loopback.address(readinessPort),
        "/readiness",
        Map.of(),
        Buffer.buffer(),
        READINESS_TIMEOUT,
        reply -> {
          boolean isCurrent = alive && asked == incarnation;
          reached |= isCurrent && reply instanceof HttpReply.Response;
          ready =
              isCurrent && reply instanceof HttpReply.Response response && response.status() == 200;
          if (ready) {
            endOfDowntime.run();
            endOfDowntime = () -> {};
          }
        });
  }

  private String subject() {
    return "process " + index;
  }

  private void writeSettings(int peerProxyPort, int storeProxyPort) {
    ObjectNode root =
        PlatformEntries.nodeSettings(
                "vm-" + index,
                Loopback.HOST,
                clientPort,
                readinessPort,
                peerPort,
                Loopback.address(storeProxyPort))
            .put("advertisedPeerAddress", Loopback.address(peerProxyPort))
            .put("workersPerShard", WORKERS_PER_SHARD)
            .put("stopWithinMillis", STOP_WITHIN.toMillis());
    try {
      Files.writeString(settingsFile, root.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
