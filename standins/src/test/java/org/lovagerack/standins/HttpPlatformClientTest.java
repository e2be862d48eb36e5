package org.lovagerack.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.Condition;
import org.lovagerack.platform.HttpPlatformClient;
import org.lovagerack.platform.PlatformClientOptions;
import org.lovagerack.platform.PlatformException;
import org.lovagerack.platform.PlatformException.Effect;
import org.lovagerack.platform.Row;
import org.lovagerack.platform.Transaction;
import org.lovagerack.platform.VmEntry;
import org.lovagerack.platform.VmSnapshot;
import org.lovagerack.platform.Write;

/**
 * Guards against a client that reports the wrong effect of a write, or completes its results
 * outside the context of its caller.
 */
final class HttpPlatformClientTest {

  private static final Transaction FIRST =
      new Transaction(List.of(new Condition("a", 0)), List.of(new Write("a", "one")));

  private final Vertx vertx = Vertx.vertx();
  private final PlatformStandIn platform = new PlatformStandIn(vertx, "key");
  private Context context;
  private SocketAddress address;

  @BeforeEach
  void start() throws Exception {
    context = vertx.getOrCreateContext();
    address = SocketAddress.inetSocketAddress(await(platform.start("127.0.0.1", 0)), "127.0.0.1");
  }

  @AfterEach
  void stop() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get();
  }

  private HttpPlatformClient client(String key, Duration timeout, SocketAddress... addresses) {
    PlatformClientOptions options =
        new PlatformClientOptions(
            List.of(addresses), key, "nordvik-1", Duration.ofSeconds(5), timeout);
    CompletableFuture<HttpPlatformClient> created = new CompletableFuture<>();
    context.runOnContext(ignored -> created.complete(new HttpPlatformClient(vertx, options)));
    return created.join();
  }

  private HttpPlatformClient client() {
    return client("key", Duration.ofMinutes(1), address);
  }

  /** Runs a call on the context and checks that it completes on the same context. */
  private <T> T get(Supplier<CompletionStage<T>> call) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            call.get()
                .whenComplete(
                    (value, failure) -> {
                      if (Vertx.currentContext() != context) {
                        result.completeExceptionally(
                            new AssertionError("completed on another context"));
                      } else if (failure != null) {
                        result.completeExceptionally(failure);
                      } else {
                        result.complete(value);
                      }
                    }));
    return result.get();
  }

  private <T> void assertFails(Effect effect, Supplier<CompletionStage<T>> call) {
    assertThatThrownBy(() -> get(call))
        .isInstanceOf(ExecutionException.class)
        .cause()
        .isInstanceOfSatisfying(
            PlatformException.class, failure -> assertThat(failure.effect()).isEqualTo(effect));
  }

  @Test
  void readsWhatTransactionsWrote() throws Exception {
    HttpPlatformClient client = client();
    assertThat(get(() -> client.commit(FIRST))).isEqualTo(CommitResult.COMMITTED);
    assertThat(get(() -> client.commit(FIRST))).isEqualTo(CommitResult.CONFLICT);
    Transaction more =
        new Transaction(
            List.of(new Condition("a", 1)),
            List.of(new Write("a", "two"), new Write("b/1", "x"), new Write("b/2", "y")));
    assertThat(get(() -> client.commit(more))).isEqualTo(CommitResult.COMMITTED);

    assertThat(get(() -> client.read("a"))).contains(new Row("a", 2, "two"));
    assertThat(get(() -> client.read("c"))).isEmpty();
    assertThat(get(() -> client.scan("b/", "", 1))).containsExactly(new Row("b/1", 1, "x"));
    assertThat(get(() -> client.scan("b/", "b/1", 9))).containsExactly(new Row("b/2", 1, "y"));
    assertThat(platform.counts()).isEqualTo(new PlatformCounts(4, 2, 1));
  }

  @Test
  void storesObjectsAndListsVms() throws Exception {
    HttpPlatformClient client = client();
    VmEntry vm =
        new VmEntry("10.0.0.1:80", "nordvik-1", VmEntry.Role.UPSTREAM, VmEntry.State.LEAVING);
    get(() -> client.put("o", "contents"));
    platform.setVms(List.of(vm));

    assertThat(get(() -> client.get("o"))).isEqualTo(Optional.of("contents"));
    assertThat(get(() -> client.get("p"))).isEmpty();
    assertThat(get(client::list)).isEqualTo(new VmSnapshot(1, List.of(vm)));
    platform.setFaults(new PlatformFaults(0, false, Set.of(), 0, Duration.ofHours(1).toMillis()));
    assertThat(get(client::list).version()).as("version of the list an hour ago").isZero();
  }

  @Test
  void reportsALostResponseToAWriteAsAmbiguous() throws Exception {
    HttpPlatformClient client = client();
    platform.setFaults(new PlatformFaults(0, false, Set.of(), 1, 0));

    assertFails(Effect.AMBIGUOUS, () -> client.commit(FIRST));

    assertThat(get(() -> client.read("a"))).contains(new Row("a", 1, "one"));
    assertThat(get(() -> client.commit(FIRST))).isEqualTo(CommitResult.CONFLICT);
  }

  @Test
  void reportsARefusalAsNotApplied() {
    HttpPlatformClient client = client("wrong", Duration.ofMinutes(1), address);

    assertFails(Effect.NOT_APPLIED, () -> client.commit(FIRST));
  }

  @Test
  void reportsATimeoutOfAWriteAsAmbiguous() {
    HttpPlatformClient client = client("key", Duration.ofMillis(200), address);
    platform.setFaults(new PlatformFaults(0, false, Set.of("nordvik-1"), 0, 0));

    assertFails(Effect.AMBIGUOUS, () -> client.commit(FIRST));
    assertThat(platform.counts().writes()).isZero();
  }

  @Test
  void reportsAFailedReadAsNotApplied() {
    HttpPlatformClient client = client();
    platform.setFaults(new PlatformFaults(0, true, Set.of(), 0, 0));

    assertFails(Effect.NOT_APPLIED, () -> client.read("a"));
  }

  @Test
  void usesTheNextAddressAfterARefusedConnection() throws Exception {
    SocketAddress closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = SocketAddress.inetSocketAddress(socket.getLocalPort(), "127.0.0.1");
    }
    HttpPlatformClient onlyClosed = client("key", Duration.ofMinutes(1), closed, closed);
    assertFails(Effect.NOT_APPLIED, () -> onlyClosed.commit(FIRST));

    HttpPlatformClient client = client("key", Duration.ofMinutes(1), closed, address);
    assertThat(get(() -> client.commit(FIRST))).isEqualTo(CommitResult.COMMITTED);
  }

  @Test
  void setsFaultsOverHttp() throws Exception {
    String faults = "{\"down\": true, \"unreachableFrom\": [\"x\"], \"lostAnswers\": 2}";
    URI uri = URI.create("http://" + address + "/control/faults");
    HttpRequest request = HttpRequest.newBuilder(uri).POST(BodyPublishers.ofString(faults)).build();
    HttpClient.newHttpClient().send(request, BodyHandlers.discarding());

    assertThat(platform.faults()).isEqualTo(new PlatformFaults(0, true, Set.of("x"), 2, 0));
  }
}
