package org.lovagerack.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that arrive when their caller has long given them up. */
final class HttpCallerTest {

  /** Only ends a test that hangs. */
  private static final long HANG_SECONDS = 60;

  /** Small enough that most of a request stays with its sender, as during a partition. */
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  /** Fits into the buffer of the sender's system. */
  private static final int BODY_BYTES = 48 << 10;

  /** Closing takes one or two tasks of the event loop, each of which may add another one. */
  private static final int TURNS_TO_CLOSE = 20;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(HANG_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void requestThatWasHeldUpUntilItsTimeoutDoesNotArriveLater() throws Exception {
    try (ServerSocket server = listen()) {
      CompletableFuture<HttpReply> reply = new CompletableFuture<>();
      call(server, Duration.ofMillis(300), reply);
      try (Socket accepted = server.accept()) {
        assertThat(reply.get(HANG_SECONDS, TimeUnit.SECONDS))
            .isInstanceOf(HttpReply.NoResponse.class);
        afterItsTasks();
        assertThat(bytesThatArrive(accepted)).isLessThan(BODY_BYTES);
      }
    }
  }

  @Test
  void withdrawnRequestDoesNotArriveLaterAndHasNoResult() throws Exception {
    try (ServerSocket server = listen()) {
      CompletableFuture<HttpReply> reply = new CompletableFuture<>();
      Runnable withdrawal = call(server, Duration.ofSeconds(HANG_SECONDS), reply);
      try (Socket accepted = server.accept()) {
        while (accepted.getInputStream().available() == 0) {
          Thread.onSpinWait();
        }
        context.runOnContext(ignored -> withdrawal.run());
        afterItsTasks();

        assertThat(bytesThatArrive(accepted)).isLessThan(BODY_BYTES);
        assertThat(reply).isNotDone();
      }
    }
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return server;
  }

  private Runnable call(ServerSocket server, Duration timeout, CompletableFuture<HttpReply> reply)
      throws Exception {
    CompletableFuture<Runnable> withdrawal = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            withdrawal.complete(
                new HttpCaller(vertx, 1)
                    .call(
                        HttpMethod.POST,
                        "127.0.0.1:" + server.getLocalPort(),
                        "/",
                        Map.of(),
                        Buffer.buffer(new byte[BODY_BYTES]),
                        timeout,
                        reply::complete)));
    return withdrawal.get(HANG_SECONDS, TimeUnit.SECONDS);
  }

  /** Waits until the event loop has closed the connection, so that reading does not make room. */
  private void afterItsTasks() throws Exception {
    for (int turn = 0; turn < TURNS_TO_CLOSE; turn++) {
      CompletableFuture<Void> ran = new CompletableFuture<>();
      context.runOnContext(ignored -> ran.complete(null));
      ran.get(HANG_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static long bytesThatArrive(Socket accepted) {
    long bytes = 0;
    byte[] buffer = new byte[1 << 16];
    try (InputStream input = accepted.getInputStream()) {
      for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
        bytes += read;
      }
    } catch (IOException e) {
      // The connection was reset, which is what a withdrawal does.
      return bytes;
    }
    return bytes;
  }
}
