package org.lovagerack.daemon.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.UpstreamTransport;

/**
 * Sends attempts over pooled HTTP/1.1 connections. Attempts that require a new connection use a
 * second client, which opens a connection for each request.
 */
public final class HttpUpstreamTransport implements UpstreamTransport {

  /** Short, because an unusable idle connection is not detected until it is used. */
  private static final int IDLE_CONNECTION_SECONDS = 5;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Vertx vertx;
  private final HttpClient pooledClient;
  private final HttpClient unpooledClient;
  private final int maxAnswerBytes;
  private final Map<String, ConnectionGroup> groups = new HashMap<>();

  /**
   * Creates a transport.
   *
   * @param vertx the Vert.x instance
   * @param maxConnections maximum number of pooled connections to one upstream
   * @param maxAnswerBytes maximum size of an answer body, in bytes
   */
  public HttpUpstreamTransport(Vertx vertx, int maxConnections, int maxAnswerBytes) {
    this.vertx = vertx;
    this.maxAnswerBytes = maxAnswerBytes;
    this.pooledClient =
        vertx
            .httpClientBuilder()
            .with(clientOptions().setKeepAlive(true).setKeepAliveTimeout(IDLE_CONNECTION_SECONDS))
            .with(new PoolOptions().setHttp1MaxSize(maxConnections))
            .withConnectHandler(this::onConnected)
            .build();
    this.unpooledClient =
        vertx
            .httpClientBuilder()
            .with(clientOptions().setKeepAlive(false))
            .with(new PoolOptions().setHttp1MaxSize(maxConnections))
            .build();
  }

  private static HttpClientOptions clientOptions() {
    return new HttpClientOptions()
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        .setTcpKeepAlive(true)
        .setTcpNoDelay(true);
  }

  @Override
  public Attempt start(AttemptRequest request, AttemptListener listener) {
    ConnectionGroup group = group(request.upstream());
    HttpAttempt attempt = new HttpAttempt(request, listener, group, maxAnswerBytes);
    attempt.start(request.freshConnection() ? unpooledClient : pooledClient, vertx);
    return attempt;
  }

  @Override
  public void limitConnections(String upstream, int connections) {
    if (connections > 0) {
      group(upstream).limit(connections);
      return;
    }
    ConnectionGroup group = groups.get(upstream);
    if (group != null) {
      group.closeWhenIdle();
      groups.remove(upstream);
    }
  }

  @Override
  public void closeIdleConnections(String upstream) {
    ConnectionGroup group = groups.get(upstream);
    if (group != null) {
      group.closeIdle();
    }
  }

  private ConnectionGroup group(String upstream) {
    return groups.computeIfAbsent(upstream, ignored -> new ConnectionGroup());
  }

  private void onConnected(HttpConnection connection) {
    String upstream =
        connection.remoteAddress().hostAddress() + ":" + connection.remoteAddress().port();
    ConnectionGroup group = group(upstream);
    group.add(connection);
    connection.closeHandler(ignored -> group.remove(connection));
  }
}
