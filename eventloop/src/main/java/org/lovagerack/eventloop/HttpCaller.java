package org.lovagerack.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.internal.ContextInternal;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes HTTP calls over kept connections. All methods and callbacks run on one event loop, that of
 * the first call. Uses Netty's codec below the client of Vert.x, whose layers take more processor
 * time than the rest of a call.
 */
public final class HttpCaller {

  /** A healthy address of the platform connects within milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Connections are priced, so they are kept for about as long as a day's lull. */
  private static final Duration KEEP_ALIVE = Duration.ofMinutes(2);

  /** Period of the search for connections that nobody used for long. */
  private static final Duration IDLE_CHECK = Duration.ofSeconds(30);

  private final Vertx vertx;
  private final int connectionsPerAddress;
  private final Map<String, ConnectionPool> pools = new HashMap<>();
  private ContextInternal context;

  /**
   * Creates a caller.
   *
   * @param connectionsPerAddress largest number of open connections to one address
   */
  public HttpCaller(Vertx vertx, int connectionsPerAddress) {
    this.vertx = vertx;
    this.connectionsPerAddress = connectionsPerAddress;
  }

  /**
   * Makes a call.
   *
   * @param address IP number and port
   * @param timeout time until a whole response must have arrived
   * @param callback receives the one result
   * @return withdraws the call if it has no result yet: the callback receives none, and a request
   *     that has not arrived does not arrive later
   */
  public Runnable call(
      HttpMethod method,
      String address,
      String uri,
      Map<String, String> headers,
      Buffer body,
      Duration timeout,
      Consumer<HttpReply> callback) {
    ConnectionPool pool = pool(address);
    HttpCall call =
        new HttpCall(HttpCall.request(method, address, uri, headers, body), pool, callback);
    ScheduledFuture<?> expiry =
        context
            .nettyEventLoop()
            .schedule(
                () -> context.dispatch(call::expire), timeout.toNanos(), TimeUnit.NANOSECONDS);
    call.onFinished(() -> expiry.cancel(false));
    pool.send(call);
    return call::withdraw;
  }

  private ConnectionPool pool(String address) {
    if (context == null) {
      context = (ContextInternal) vertx.getOrCreateContext();
      vertx.setPeriodic(IDLE_CHECK.toMillis(), ignored -> closeIdle());
    }
    return pools.computeIfAbsent(
        address, key -> new ConnectionPool(key, connectionsPerAddress, bootstrap(), context));
  }

  private void closeIdle() {
    pools.values().forEach(pool -> pool.closeIdle(KEEP_ALIVE));
    pools.values().removeIf(ConnectionPool::isUnused);
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .group(context.nettyEventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .option(ChannelOption.TCP_NODELAY, true)
        // A connection that is closed is reset: a request that was held up by a partition must not
        // arrive when its caller has long given it up.
        .option(ChannelOption.SO_LINGER, 0);
  }

  /**
   * Returns what Vert.x needs to know of a request.
   *
   * @param address IP number and port
   */
  public static RequestOptions options(
      HttpMethod method, String address, String uri, Map<String, String> headers) {
    int colon = address.lastIndexOf(':');
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.substring(0, colon))
            .setPort(Integer.parseInt(address.substring(colon + 1)))
            .setURI(uri);
    headers.forEach(options::putHeader);
    return options;
  }
}
