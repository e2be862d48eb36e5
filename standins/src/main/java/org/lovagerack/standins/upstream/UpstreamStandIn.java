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
 * An upstream for tests and demonstrations. It runs at most one task per slot at a time and queues
 * the others. A task takes the {@code workMillis} of its body divided by the speed of the upstream,
 * and its response is {@code done:} followed by the body.
 */
public final class UpstreamStandIn {

  /** How the upstream treats tasks. */
  public enum Mode {
    /** Runs every task. */
    NORMAL,
    /** Responds to every task at once with status 500. */
    FAIL,
    /** Occupies a slot for each task and never responds. */
    HANG
  }

  private static final long DEFAULT_WORK_MILLIS = 50;

  private final Vertx vertx;
  private final int slots;
  private final double speed;
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private final Map<String, Integer> startsByTask = new ConcurrentHashMap<>();
  private final Set<HttpConnection> connections =
      Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));
  private final Set<HttpConnection> unresponsiveConnections =
      Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));
  private volatile Mode mode = Mode.NORMAL;
  private int running;
  private HttpServer server;

  /**
   * Creates an upstream.
   *
   * @param vertx the Vert.x instance
   * @param slots maximum number of concurrent tasks
   * @param speed factor by which the work of each task is divided
   */
  public UpstreamStandIn(Vertx vertx, int slots, double speed) {
    this.vertx = vertx;
    this.slots = slots;
    this.speed = speed;
  }

  /** Listens on a loopback port, or any free one if 0; the future's value is the port. */
  public Future<Integer> listen(int port) {
    server =
        vertx.createHttpServer().connectionHandler(connections::add).requestHandler(this::handle);
    return server.listen(port, "127.0.0.1").map(HttpServer::actualPort);
  }

  /** Stops listening and closes every connection. */
  public Future<Void> close() {
    return server.close();
  }

  /** Sets how subsequently started tasks are treated. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Makes the open connections unresponsive; new connections work. */
  public void makeOpenConnectionsUnresponsive() {
    unresponsiveConnections.addAll(connections);
  }

  /** Returns the number of starts of each task, by its key. */
  public Map<String, Integer> starts() {
    return Map.copyOf(startsByTask);
  }

  private void handle(HttpServerRequest request) {
    if (unresponsiveConnections.contains(request.connection())) {
      return;
    }
    switch (request.path()) {
      case "/control/starts" ->
          request.response().end(new JsonObject(Map.copyOf(startsByTask)).encode());
      case "/control/mode" -> {
        setMode(Mode.valueOf(request.getParam("mode")));
        request.response().end();
      }
      case "/control/silence" -> {
        request.response().end();
        makeOpenConnectionsUnresponsive();
      }
      default -> request.body().onSuccess(body -> enqueue(request, body.toString()));
    }
  }

  private void enqueue(HttpServerRequest request, String body) {
    queue.add(() -> run(request, body));
    startQueued();
  }

  private void startQueued() {
    while (running < slots && !queue.isEmpty()) {
      queue.remove().run();
    }
  }

  private void run(HttpServerRequest request, String body) {
    startsByTask.merge(String.valueOf(request.getHeader("Lovagerack-Task")), 1, Integer::sum);
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
    if (!unresponsiveConnections.contains(request.connection()) && !request.response().closed()) {
      request.response().end("done:" + body);
    }
    startQueued();
  }

  private static long workMillis(String body) {
    try {
      return new JsonObject(body).getLong("workMillis", DEFAULT_WORK_MILLIS);
    } catch (DecodeException | ClassCastException e) {
      return DEFAULT_WORK_MILLIS;
    }
  }

  private Duration runTime(String body) {
    long workMillis = workMillis(body);
    return Duration.ofMillis(Math.max(1, Math.round(workMillis / speed)));
  }
}
