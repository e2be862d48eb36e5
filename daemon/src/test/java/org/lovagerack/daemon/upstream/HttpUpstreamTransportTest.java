package org.lovagerack.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.foundation.data.Bytes;

/**
 * Guards against an attempt that is reported as not sent although the upstream may have received
 * it, and against incomplete answers.
 */
final class HttpUpstreamTransportTest {

  private static final int TEST_TIMEOUT_SECONDS = 60;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final AtomicInteger connections = new AtomicInteger();
  private HttpUpstreamTransport transport;

  @BeforeEach
  void createTransport() throws Exception {
    transport = onContext(() -> new HttpUpstreamTransport(vertx, 8, 1_000));
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void completeAnswerIsReported() throws Exception {
    String upstream = upstream(socket -> socket.write(answer("hello")));

    AttemptResult result = run(upstream, false);

    assertThat(result).isEqualTo(new AttemptResult.Answered(200, Bytes.ofText("hello"), false));
  }

  @Test
  void refusedConnectionIsNotSent() throws Exception {
    int port;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }

    assertThat(run("127.0.0.1:" + port, false)).isInstanceOf(AttemptResult.NotSent.class);
  }

  @Test
  void connectionClosedAfterTheRequestIsLost() throws Exception {
    assertThat(run(upstream(NetSocket::close), false)).isInstanceOf(AttemptResult.Lost.class);
  }

  @Test
  void truncatedAnswerIsLost() throws Exception {
    String upstream =
        upstream(
            socket ->
                socket
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
                    .onComplete(ignored -> socket.close()));

    assertThat(run(upstream, false)).isInstanceOf(AttemptResult.Lost.class);
  }

  @Test
  void answerWithoutLengthOrChunkedEncodingIsLost() throws Exception {
    String upstream =
        upstream(
            socket ->
                socket
                    .write("HTTP/1.1 200 OK\r\n\r\nmaybe all")
                    .onComplete(ignored -> socket.close()));

    assertThat(run(upstream, false)).isInstanceOf(AttemptResult.Lost.class);
  }

  @Test
  void answerOverTheLimitIsLost() throws Exception {
    String upstream = upstream(socket -> socket.write(answer("x".repeat(1_001))));

    assertThat(run(upstream, false)).isInstanceOf(AttemptResult.Lost.class);
  }

  @Test
  void freshAttemptUsesAnotherConnection() throws Exception {
    String upstream = upstream(socket -> socket.write(answer("hello")));

    run(upstream, false);
    run(upstream, false);
    assertThat(connections).hasValue(1);
    run(upstream, true);
    assertThat(connections).hasValue(2);
  }

  @Test
  void closedIdleConnectionIsNotReused() throws Exception {
    String upstream = upstream(socket -> socket.write(answer("hello")));
    run(upstream, false);

    onContext(
        () -> {
          transport.closeIdleConnections(upstream);
          return null;
        });
    run(upstream, false);

    assertThat(connections).hasValue(2);
  }

  @Test
  void cancelledAttemptClosesItsConnectionAndReportsNothing() throws Exception {
    CompletableFuture<Void> received = new CompletableFuture<>();
    CompletableFuture<Void> closed = new CompletableFuture<>();
    String upstream =
        upstream(
            socket -> {
              socket.closeHandler(ignored -> closed.complete(null));
              received.complete(null);
            });
    CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    Attempt attempt = onContext(() -> transport.start(request(upstream, false), result::complete));
    await(received);

    onContext(
        () -> {
          attempt.cancel();
          return null;
        });
    await(closed);

    assertThat(onContext(() -> Optional.ofNullable(result.getNow(null)))).isEmpty();
  }

  @Test
  void attemptOverTheLimitOfConnectionsIsNotSent() throws Exception {
    String upstream = upstream(socket -> {});
    onContext(
        () -> {
          transport.limitConnections(upstream, 1);
          return transport.start(request(upstream, false), ignored -> {});
        });

    assertThat(run(upstream, false)).isInstanceOf(AttemptResult.NotSent.class);
  }

  private AttemptResult run(String upstream, boolean fresh) throws Exception {
    CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    onContext(() -> transport.start(request(upstream, fresh), result::complete));
    return await(result);
  }

  private static AttemptRequest request(String upstream, boolean fresh) {
    return new AttemptRequest(
        upstream, "/tasks", "task/0", 1, Duration.ofSeconds(5), Bytes.ofText("body"), fresh);
  }

  /** Starts a server that calls {@code onRequest} when it has received a complete request. */
  private String upstream(Consumer<NetSocket> onRequest) throws Exception {
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  connections.incrementAndGet();
                  Buffer received = Buffer.buffer();
                  socket.handler(
                      data -> {
                        received.appendBuffer(data);
                        if (received.toString().endsWith("\r\n\r\nbody")) {
                          received.setBuffer(0, Buffer.buffer(new byte[received.length()]));
                          onRequest.accept(socket);
                        }
                      });
                });
    return "127.0.0.1:"
        + await(
            server
                .listen(0, "127.0.0.1")
                .map(NetServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture());
  }

  private static String answer(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private <T> T onContext(Callable<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return await(result);
  }

  private static <T> T await(CompletableFuture<T> future)
      throws ExecutionException, InterruptedException, TimeoutException {
    return future.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
