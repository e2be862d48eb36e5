package org.lovagerack.operator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An entry VM that returns prepared answers and records the calls. */
final class StubEntryVm implements AutoCloseable {

  /** A call that was received. */
  record Call(String method, String path, Map<String, String> headers, String body) {}

  private record PreparedAnswer(int status, String body) {}

  private static final int DROP_CONNECTION = -1;

  private final Vertx vertx = Vertx.vertx();
  private final HttpServer server;
  private final Map<String, Deque<PreparedAnswer>> preparedAnswers = new HashMap<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  StubEntryVm() {
    server = vertx.createHttpServer().requestHandler(this::receive);
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
  }

  /** Queues an answer to a call; the last one is repeated for all further calls. */
  StubEntryVm on(String methodAndPath, int status, String body) {
    preparedAnswers
        .computeIfAbsent(methodAndPath, key -> new ArrayDeque<>())
        .add(new PreparedAnswer(status, body));
    return this;
  }

  /** Closes the connection of every such call after it was received. */
  StubEntryVm loseAnswerTo(String methodAndPath) {
    return on(methodAndPath, DROP_CONNECTION, "");
  }

  String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  List<Call> calls() {
    return calls;
  }

  private void receive(HttpServerRequest request) {
    request.body().onSuccess(body -> answer(request, body));
  }

  private void answer(HttpServerRequest request, Buffer body) {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    calls.add(new Call(request.method().name(), request.path(), headers, body.toString()));
    Deque<PreparedAnswer> prepared =
        preparedAnswers.getOrDefault(
            request.method() + " " + request.path(), new ArrayDeque<>(List.of(unpreparedAnswer())));
    PreparedAnswer next = prepared.size() > 1 ? prepared.remove() : prepared.element();
    if (next.status() == DROP_CONNECTION) {
      request.connection().close();
    } else {
      request.response().setStatusCode(next.status()).end(next.body());
    }
  }

  private static PreparedAnswer unpreparedAnswer() {
    return new PreparedAnswer(599, "the test prepared no answer");
  }

  /** Stops the server, so that connections to its address are refused. */
  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
