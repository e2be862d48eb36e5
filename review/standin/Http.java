package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers on loopback with one virtual thread for each request. */
final class Http {

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "5000");
    System.setProperty("sun.net.httpserver.idleInterval", "600");
  }

  /** Handles a request; returns null if it closes the exchange itself. */
  interface Handler {
    Reply handle(HttpExchange exchange, String body) throws Exception;
  }

  record Reply(int status, Object body) {}

  /** Thrown by a handler to close the connection without a response. */
  static final class NoAnswer extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private static final int BLOCK = 200;
  private static final List<ServerSocket> BLOCKS = new ArrayList<>();
  private static ServerSocket block;
  private static int nextPort;

  private Http() {}

  /**
   * Returns a free port below those that the system gives to outgoing connections. The ports of a
   * process come from a block of its own, whose first port it keeps open.
   */
  static synchronized int freePort() {
    while (true) {
      if (block == null || nextPort % BLOCK == 0) {
        int start = 11_000 + BLOCK * ThreadLocalRandom.current().nextInt(20_000 / BLOCK);
        try {
          block = bind(start);
          BLOCKS.add(block);
          nextPort = start + 1;
        } catch (IOException e) {
          continue;
        }
      }
      int port = nextPort++;
      try (ServerSocket socket = bind(port)) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Another process uses the port.
      }
    }
  }

  private static ServerSocket bind(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
  }

  static HttpServer serve(int port, Handler handler) {
    try {
      HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
      server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
      server.createContext(
          "/",
          exchange -> {
            try {
              String body =
                  new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
              Reply reply = handler.handle(exchange, body);
              byte[] bytes =
                  reply.body() == null
                      ? new byte[0]
                      : Json.write(reply.body()).getBytes(StandardCharsets.UTF_8);
              exchange.getResponseHeaders().set("Content-Type", "application/json");
              exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
              try (OutputStream out = exchange.getResponseBody()) {
                out.write(bytes);
              }
            } catch (NoAnswer e) {
              // The connection is closed below.
            } catch (IOException e) {
              // The caller has closed the connection.
            } catch (Throwable e) {
              e.printStackTrace();
            } finally {
              exchange.close();
            }
          });
      server.start();
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
