package org.lovagerack.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.settings.Settings;

/** The HTTP server for callers and operators. */
public final class HttpInterface {

  /** Longer than common idle timeouts of load balancers, so that the balancer closes first. */
  private static final int IDLE_TIMEOUT_SECONDS = 120;

  private static final int BODY_TOO_LARGE_STATUS = 413;
  private static final int NOT_FOUND_STATUS = 404;
  private static final EventLog LOG = new EventLog(HttpInterface.class);

  private final Vertx vertx;
  private final Settings.Callers settings;
  private final Router router;
  private HttpServer server;
  private int connections;

  /**
   * Creates the server.
   *
   * @param vertx the Vert.x instance
   * @param settings address and limits
   * @param routes the routes to serve
   */
  public HttpInterface(Vertx vertx, Settings.Callers settings, Iterable<RouteGroup> routes) {
    this.vertx = vertx;
    this.settings = settings;
    this.router = Router.router(vertx);
    router
        .route()
        .handler(BodyHandler.create(false).setBodyLimit(settings.maxBodyBytes()))
        .failureHandler(HttpInterface::answerFailure);
    routes.forEach(group -> group.addTo(router));
    router.route().last().handler(context -> send(context, notFound(context)));
  }

  /** Opens the port and completes with the actual port. */
  public Future<Integer> listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setMaxHeaderSize(settings.maxHeaderBytes())
            .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
            .setTcpNoDelay(true);
    server =
        vertx
            .createHttpServer(options)
            .connectionHandler(this::limitConnections)
            .requestHandler(router);
    return server
        .listen(settings.address().port(), settings.address().host())
        .map(HttpServer::actualPort);
  }

  /**
   * Closes the port and waits for requests in progress, including forwarded ones.
   *
   * @param limit time after which requests in progress are aborted
   */
  public Future<Void> shutdown(Duration limit) {
    return server.shutdown(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void limitConnections(HttpConnection connection) {
    connections++;
    connection.closeHandler(ignored -> connections--);
    if (connections > settings.maxConnections()) {
      connection.close();
    }
  }

  /** Returns the request body. */
  public static Bytes body(RoutingContext context) {
    Buffer buffer = context.body().buffer();
    return buffer == null ? Bytes.empty() : Bytes.copyOf(buffer.getBytes());
  }

  /** Sends an answer unless the connection was closed. */
  public static void send(RoutingContext context, Answer answer) {
    if (context.response().ended() || context.response().closed()) {
      return;
    }
    answer.headers().forEach(context.response()::putHeader);
    context
        .response()
        .setStatusCode(answer.status())
        .end(Buffer.buffer(answer.body().toByteArray()));
  }

  private static void answerFailure(RoutingContext context) {
    if (context.statusCode() == BODY_TOO_LARGE_STATUS) {
      send(context, ProblemJson.answer(bodyTooLarge(context)));
    } else if (context.statusCode() == NOT_FOUND_STATUS) {
      send(context, notFound(context));
    } else {
      LOG.write(LogEvent.UNEXPECTED_ERROR, context.failure(), "path", context.request().path());
      send(
          context,
          ProblemJson.answer(
              Failure.mayHaveRun(ErrorKind.INTERNAL, "see the log of the entry VM")));
    }
  }

  /** Only the owner can report "not run" for a submission that has an identifier. */
  private static Failure bodyTooLarge(RoutingContext context) {
    String detail = "this request did not start a task";
    return context.request().getHeader(CallerRoutes.IDEMPOTENCY_KEY) == null
        ? Failure.notRun(ErrorKind.BODY_TOO_LARGE, detail)
        : Failure.mayHaveRun(
            ErrorKind.BODY_TOO_LARGE, detail + "; an earlier one may have started it");
  }

  private static Answer notFound(RoutingContext context) {
    return ProblemJson.answer(
        Failure.mayHaveRun(
            ErrorKind.NOT_FOUND,
            "no resource for " + context.request().method() + " " + context.request().path()));
  }
}
