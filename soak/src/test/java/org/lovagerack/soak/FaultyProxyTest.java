package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.eventloop.EventLoopTimer;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.HttpReply;

/** Checks what callers observe in each mode of the proxy. */
final class FaultyProxyTest {

  /** Ends a test that makes no progress; no assertion depends on it. */
  private static final long TEST_TIMEOUT_SECONDS = 60;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final HttpCaller caller = new HttpCaller(vertx, 1);
  private final List<String> handledPaths = new ArrayList<>();
  private FaultyProxy proxy;
  private int port;

  @BeforeEach
  void start() throws Exception {
    CompletableFuture<Integer> listening = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            vertx
                .createHttpServer()
                .requestHandler(
                    request -> {
                      handledPaths.add(request.path());
                      request.response().end("response");
                    })
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort)
                .compose(this::openProxy)
                .onSuccess(listening::complete));
    port = listening.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private Future<Integer> openProxy(int serverPort) {
    proxy = new FaultyProxy(vertx, new EventLoopTimer(vertx, context), "127.0.0.1", serverPort);
    return proxy.listen(0);
  }

  @AfterEach
  void stop() throws Exception {
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void delayedResponsesArrive() throws Exception {
    assertThat(call("/plain", Duration.ofSeconds(TEST_TIMEOUT_SECONDS)).get())
        .isEqualTo("response");
    setMode(FaultyProxy.Mode.DELAY);
    assertThat(call("/delayed", Duration.ofSeconds(TEST_TIMEOUT_SECONDS)).get())
        .isEqualTo("response");
  }

  @Test
  void requestsFailWhileConnectionsAreReset() throws Exception {
    setMode(FaultyProxy.Mode.RESET);

    assertThat(call("/reset", Duration.ofSeconds(TEST_TIMEOUT_SECONDS)).get()).isEqualTo("none");
    assertThat(handledPaths).isEmpty();
  }

  @Test
  void serverHandlesRequestWhoseResponseIsHeld() throws Exception {
    call("/opens", Duration.ofSeconds(TEST_TIMEOUT_SECONDS)).get();
    setMode(FaultyProxy.Mode.ANSWERS_HELD);

    assertThat(call("/unseen", Duration.ofMillis(200)).get()).isEqualTo("none");
    assertThat(handledPaths).containsExactly("/opens", "/unseen");
  }

  @Test
  void heldRequestIsDeliveredWhenTheFaultEnds() throws Exception {
    call("/opens", Duration.ofSeconds(TEST_TIMEOUT_SECONDS)).get();
    setMode(FaultyProxy.Mode.REQUESTS_HELD);
    CompletableFuture<String> held = call("/held", Duration.ofSeconds(TEST_TIMEOUT_SECONDS));
    setMode(FaultyProxy.Mode.PASS);

    assertThat(held.get()).isEqualTo("response");
  }

  @Test
  void noPortIsHandedOutTwice() {
    assertThat(Stream.generate(Loopback::freePort).limit(200)).doesNotHaveDuplicates();
  }

  private void setMode(FaultyProxy.Mode mode) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          proxy.setMode(mode);
          done.complete(null);
        });
    done.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> call(String path, Duration timeout) {
    CompletableFuture<String> body = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            caller.call(
                HttpMethod.GET,
                Loopback.address(port),
                path,
                Map.of(),
                Buffer.buffer(),
                timeout,
                reply ->
                    body.complete(
                        reply instanceof HttpReply.Response response
                            ? response.body().toString()
                            : "none")));
    return body;
  }
}
