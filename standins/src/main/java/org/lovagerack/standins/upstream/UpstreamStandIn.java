package org.lovagerack.standins.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An upstream for tests and demonstrations. It runs as many tasks at a time as it has slots, queues
 * the others, takes {@code workMillis} of the body divided by its speed for each, and answers
 * {@code done:} and the body.
 */
public final class UpstreamStandIn {

  /** How the upstream treats tasks. */
  public enum Mode {
    /** Runs every task. */
    NORMAL,
    /** Fails every task at once with status 500. */
    FAIL,
    /** Takes tasks and never answers. */
    HANG
  }

  private static final long DEFAULT_WORK_MILLIS = 50;

  private final Vertx vertx;
  private final int slots;
  private final double speed;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final Set<HttpConnection> connections =
      Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));
  private final Set<HttpConnection> silent =
      Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));
  private volatile Mode mode = Mode.NORMAL;
  private int running;
  private HttpServer server;

  /**
   * Creates an upstream.
   *
   * @param vertx the Vert.x instance
   * @param slots tasks that run at a time
   * @param speed factor by which tasks are faster than their work says
   */
  public UpstreamStandIn(Vertx vertx, int slots, double speed) {
    this.vertx = vertx;
    this.slots = slots;
    this.speed = speed;
  }

  /** Listens on loopback; the future's value is the port. */
  public Future<Integer> listen(int port) {
    server =
        vertx.createHttpServer().connectionHandler(connections::add).requestHandler(this::handle);
    return server.listen(port, "127.0.0.1").map(HttpServer::actualPort);
  }

  /** Stops listening and closes every connection. */
  public Future<Void> close() {
    return server.close();
  }

  /** Changes how tasks are treated from now on. */
  public void mode(Mode newMode) {
    mode = newMode;
  }

  /** Ignores everything on the connections that are open now; new ones work. */
  public void silenceOpenConnections() {
    silent.addAll(connections);
  }

  /** Returns how often each task was started, by its key. */
  public Map<String, Integer> starts() {
    return Map.copyOf(starts);
  }

  private void handle(HttpServerRequest request) {
    if (silent.contains(request.connection())) {
      return;
    }
    switch (request.path()) {
      case "/control/starts" -> request.response().end(new JsonObject(Map.copyOf(starts)).encode());
      case "/control/mode" -> {
        mode(Mode.valueOf(request.getParam("mode")));
        request.response().end();
      }
      case "/control/silence" -> {
        request.response().end();
        silenceOpenConnections();
      }
      default -> request.body().onSuccess(body -> enqueue(request, body.toString()));
    }
  }

  private void enqueue(HttpServerRequest request, String body) {
    waiting.add(() -> run(request, body));
    startWaiting();
  }

  private void startWaiting() {
    while (running < slots && !waiting.isEmpty()) {
      waiting.remove().run();
    }
  }

  private void run(HttpServerRequest request, String body) {
    starts.merge(String.valueOf(request.getHeader("Lovagerack-Task")), 1, Integer::sum);
    switch (mode) {
      case FAIL -> request.response().setStatusCode(500).end("failing everything");
      case HANG -> running++;
      case NORMAL -> {
        running++;
        vertx.setTimer(runTime(body).toMillis(), ignored -> finish(request, body));
      }
    }
  }

  private void finish(HttpServerRequest request, String body) {
    running--;
    if (!silent.contains(request.connection()) && !request.response().closed()) {
      request.response().end("done:" + body);
    }
    startWaiting();
  }

  private static long declaredWork(String body) {
    try {
      return new JsonObject(body).getLong("workMillis", DEFAULT_WORK_MILLIS);
    } catch (DecodeException | ClassCastException e) {
      return DEFAULT_WORK_MILLIS;
    }
  }

  private Duration runTime(String body) {
    long workMillis = declaredWork(body);
    return Duration.ofMillis(Math.max(1, Math.round(workMillis / speed)));
  }
}
