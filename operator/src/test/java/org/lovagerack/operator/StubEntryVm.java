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

/** An entry VM that gives prepared answers and keeps the calls. */
final class StubEntryVm implements AutoCloseable {

  /** A call that arrived. */
  record Call(String method, String path, Map<String, String> headers, String body) {}

  private record Prepared(int status, String body) {}

  private static final int LOSE_ANSWER = -1;

  private final Vertx vertx = Vertx.vertx();
  private final HttpServer server;
  private final Map<String, Deque<Prepared>> answers = new HashMap<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  StubEntryVm() {
    server = vertx.createHttpServer().requestHandler(this::receive);
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
  }

  /** Adds an answer to a call; the last one answers every further call. */
  StubEntryVm on(String methodAndPath, int status, String body) {
    answers
        .computeIfAbsent(methodAndPath, key -> new ArrayDeque<>())
        .add(new Prepared(status, body));
    return this;
  }

  /** Breaks the connection of every such call after it arrived. */
  StubEntryVm loseAnswer(String methodAndPath) {
    return on(methodAndPath, LOSE_ANSWER, "");
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
    Deque<Prepared> prepared =
        answers.getOrDefault(
            request.method() + " " + request.path(), new ArrayDeque<>(List.of(noAnswer())));
    Prepared next = prepared.size() > 1 ? prepared.remove() : prepared.element();
    if (next.status() == LOSE_ANSWER) {
      request.connection().close();
    } else {
      request.response().setStatusCode(next.status()).end(next.body());
    }
  }

  private static Prepared noAnswer() {
    return new Prepared(599, "the test prepared no answer");
  }

  /** Closes the port, so that connections to the address are refused. */
  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
