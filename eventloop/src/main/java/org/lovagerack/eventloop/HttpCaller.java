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
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * HTTP client with persistent connections. All methods and callbacks run on one event loop, that of
 * the first call. Uses Netty's HTTP codec directly, because the layers of the Vert.x client take
 * more processor time than the rest of a call.
 */
public final class HttpCaller {

  /** Short, because a healthy address accepts a connection within milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Long enough to reuse connections after pauses in the traffic, because new ones are costly. */
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);

  /** Period of the check for connections that exceed {@link #IDLE_TIMEOUT}. */
  private static final Duration IDLE_CHECK_PERIOD = Duration.ofSeconds(30);

  private static final EventLog LOG = new EventLog(HttpCaller.class);

  private final Vertx vertx;
  private final int connectionsPerAddress;
  private final Map<String, ConnectionPool> pools = new HashMap<>();
  private ContextInternal context;

  /**
   * Creates a caller.
   *
   * @param connectionsPerAddress maximum number of open connections to one address
   */
  public HttpCaller(Vertx vertx, int connectionsPerAddress) {
    this.vertx = vertx;
    this.connectionsPerAddress = connectionsPerAddress;
  }

  /**
   * Makes a call. One that is impossible, because its address or a header is malformed, fails like
   * one whose connection is refused.
   *
   * @param address IP address and port
   * @param timeout time limit for receiving the complete response
   * @param callback receives the result, once
   * @return cancels the call if it has no result yet: the callback is not run, and a request that
   *     has not reached the server is not delivered later
   */
  public Runnable call(
      HttpMethod method,
      String address,
      String uri,
      Map<String, String> headers,
      Buffer body,
      Duration timeout,
      Consumer<HttpReply> callback) {
    ConnectionPool pool;
    HttpCall call;
    try {
      pool = pool(address);
      call = new HttpCall(HttpCall.request(method, address, uri, headers, body), pool, callback);
    } catch (IllegalArgumentException e) {
      LOG.write(LogEvent.PART_UNREADABLE, e, "address", address, "uri", uri);
      return failLater(String.valueOf(e.getMessage()), callback);
    }
    ScheduledFuture<?> timeoutTask =
        context
            .nettyEventLoop()
            .schedule(
                () -> context.dispatch(call::timeOut), timeout.toNanos(), TimeUnit.NANOSECONDS);
    call.onFinished(() -> timeoutTask.cancel(false));
    pool.send(call);
    return call::cancel;
  }

  private Runnable failLater(String reason, Consumer<HttpReply> callback) {
    boolean[] cancelled = {false};
    context.runOnContext(
        ignored -> {
          if (!cancelled[0]) {
            callback.accept(new HttpReply.NotSent(reason));
          }
        });
    return () -> cancelled[0] = true;
  }

  private ConnectionPool pool(String address) {
    if (context == null) {
      context = (ContextInternal) vertx.getOrCreateContext();
      vertx.setPeriodic(IDLE_CHECK_PERIOD.toMillis(), ignored -> closeIdle());
    }
    return pools.computeIfAbsent(
        address, key -> new ConnectionPool(key, connectionsPerAddress, bootstrap(), context));
  }

  private void closeIdle() {
    pools.values().forEach(pool -> pool.closeIdle(IDLE_TIMEOUT));
    pools.values().removeIf(ConnectionPool::isUnused);
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .group(context.nettyEventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .option(ChannelOption.TCP_NODELAY, true)
        // Resets connections on close, which discards unsent data: a request that a network
        // partition delayed must not arrive after its caller has stopped waiting.
        .option(ChannelOption.SO_LINGER, 0);
  }

  /**
   * Returns the Vert.x options of a request.
   *
   * @param address IP address and port
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
