package org.lovagerack.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.PlatformProtocol;
import org.lovagerack.platform.Transaction;
import org.lovagerack.platform.VmEntry;

/**
 * An in-memory platform with configurable faults that implements the protocol of {@code
 * docs/platform-protocol.md}. Its methods may be called from any thread.
 */
public final class PlatformStandIn {

  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int MALFORMED = 400;
  private static final long MAX_BODY_BYTES = 64L << 20;

  private final Vertx vertx;
  private final String key;
  private final PlatformState state = new PlatformState();
  private PlatformFaults faults = PlatformFaults.none();
  private PlatformCounts counts = new PlatformCounts(0, 0, 0);
  private HttpServer server;

  /**
   * Creates a stand-in.
   *
   * @param key key that callers must present
   */
  public PlatformStandIn(Vertx vertx, String key) {
    this.vertx = vertx;
    this.key = key;
  }

  /**
   * Starts listening.
   *
   * @param port port, or 0 for any free one
   * @return the port
   */
  public Future<Integer> start(String host, int port) {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    routeCalls(router);
    routeControl(router);
    server = vertx.createHttpServer().requestHandler(router);
    return server.listen(port, host).map(HttpServer::actualPort);
  }

  /** Stops listening and closes all connections. */
  public Future<Void> stop() {
    return server.close();
  }

  /** Returns the current faults, with the number of responses that are still to be lost. */
  public synchronized PlatformFaults faults() {
    return faults;
  }

  /** Replaces the faults. */
  public synchronized void setFaults(PlatformFaults changed) {
    faults = changed;
  }

  /** Replaces the VM list; callers see it after the configured lag. */
  public synchronized void setVms(List<VmEntry> entries) {
    state.setVms(System.nanoTime(), entries);
  }

  /** Returns the number of calls that took effect so far. */
  public synchronized PlatformCounts counts() {
    return counts;
  }

  private void routeCalls(Router router) {
    route(
        router,
        PlatformProtocol.READ_PATH,
        PlatformProtocol.ReadRequest.class,
        request -> countRead(new PlatformProtocol.ReadAnswer(state.read(request.key()))));
    route(
        router,
        PlatformProtocol.SCAN_PATH,
        PlatformProtocol.ScanRequest.class,
        request ->
            countRead(
                new PlatformProtocol.ScanAnswer(
                    state.scan(request.prefix(), request.after(), request.limit()))));
    route(router, PlatformProtocol.COMMIT_PATH, Transaction.class, this::commit);
    route(
        router,
        PlatformProtocol.GET_PATH,
        PlatformProtocol.GetRequest.class,
        request -> countRead(new PlatformProtocol.GetAnswer(state.get(request.name()))));
    route(router, PlatformProtocol.PUT_PATH, PlatformProtocol.PutRequest.class, this::put);
    route(
        router,
        PlatformProtocol.LIST_PATH,
        PlatformProtocol.Nothing.class,
        request -> countRead(state.vms(System.nanoTime() - faults.vmLagMillis() * 1_000_000)));
  }

  private Outcome countRead(Object answer) {
    counts = new PlatformCounts(counts.reads() + 1, counts.writes(), counts.conflicts());
    return new Outcome(answer, false);
  }

  private Outcome commit(Transaction transaction) {
    CommitResult result = state.commit(transaction);
    PlatformProtocol.CommitAnswer answer = new PlatformProtocol.CommitAnswer(result);
    if (result == CommitResult.COMMITTED) {
      return countWrite(answer);
    }
    counts = new PlatformCounts(counts.reads(), counts.writes(), counts.conflicts() + 1);
    return new Outcome(answer, false);
  }

  private Outcome put(PlatformProtocol.PutRequest request) {
    state.put(request.name(), request.contents());
    return countWrite(new PlatformProtocol.Nothing());
  }

  private Outcome countWrite(Object answer) {
    counts = new PlatformCounts(counts.reads(), counts.writes() + 1, counts.conflicts());
    boolean answerLost = faults.lostAnswers() > 0;
    if (answerLost) {
      faults = faults.withOneFewerLostAnswer();
    }
    return new Outcome(answer, answerLost);
  }

  private <Q> void route(Router router, String path, Class<Q> type, Function<Q, Outcome> effect) {
    router
        .post(path)
        .handler(
            context -> {
              PlatformFaults current = faults();
              String callerDomain =
                  context.request().getHeader(PlatformProtocol.FAILURE_DOMAIN_HEADER);
              if (callerDomain != null && current.unreachableFrom().contains(callerDomain)) {
                return;
              }
              if (current.down()) {
                context.request().connection().close();
              } else if (!("Bearer " + key).equals(context.request().getHeader("Authorization"))) {
                reject(context, UNAUTHORIZED, "the key is missing or wrong");
              } else if (current.delayMillis() > 0) {
                vertx.setTimer(current.delayMillis(), ignored -> serve(context, type, effect));
              } else {
                serve(context, type, effect);
              }
            });
  }

  private <Q> void serve(RoutingContext context, Class<Q> type, Function<Q, Outcome> effect) {
    parse(context, type)
        .ifPresent(
            request -> {
              Outcome outcome;
              synchronized (this) {
                outcome = effect.apply(request);
              }
              if (outcome.answerLost()) {
                context.request().connection().close();
              } else {
                answer(context, OK, outcome.answer());
              }
            });
  }

  private void routeControl(Router router) {
    router.get("/control/counts").handler(context -> answer(context, OK, counts()));
    router.get("/control/faults").handler(context -> answer(context, OK, faults()));
    router
        .post("/control/faults")
        .handler(context -> handleControl(context, PlatformFaults.class, this::setFaults));
    router
        .post("/control/vms")
        .handler(
            context ->
                handleControl(context, VmEntry[].class, entries -> setVms(List.of(entries))));
  }

  private static <T> void handleControl(RoutingContext context, Class<T> type, Consumer<T> change) {
    parse(context, type)
        .ifPresent(
            value -> {
              change.accept(value);
              answer(context, OK, new PlatformProtocol.Nothing());
            });
  }

  /** Returns the parsed body of a request, or empty if it was rejected as malformed. */
  private static <T> Optional<T> parse(RoutingContext context, Class<T> type) {
    try {
      Buffer buffer = context.body().buffer();
      byte[] body = buffer == null ? new byte[0] : buffer.getBytes();
      return Optional.of(PlatformProtocol.MAPPER.readValue(body, type));
    } catch (IOException e) {
      reject(context, MALFORMED, "the request body cannot be parsed: " + e.getMessage());
      return Optional.empty();
    }
  }

  private static void reject(RoutingContext context, int status, String error) {
    answer(context, status, new PlatformProtocol.ErrorAnswer(error, false));
  }

  private static void answer(RoutingContext context, int status, Object message) {
    try {
      byte[] body = PlatformProtocol.MAPPER.writeValueAsBytes(message);
      context
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(Buffer.buffer(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the response cannot be serialized: " + message, e);
    }
  }

  private record Outcome(Object answer, boolean answerLost) {}
}
