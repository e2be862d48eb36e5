package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 server and client on loopback addresses, for stand-ins. */
final class MiniHttp {

  private MiniHttp() {}

  /** A request. Header names are in lower case. */
  record Request(
      String method,
      String path,
      Map<String, String> query,
      Map<String, String> headers,
      byte[] body) {}

  /** A response. */
  record Response(int status, byte[] body) {
    Response(int status, String body) {
      this(status, body.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Handles one request; returns null to close the connection without a response. */
  interface Handler {
    Response handle(Request request) throws Exception;
  }

  /** A server with one virtual thread for each connection. */
  static final class Server {
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket socket;
    private int port;

    /** While true, bytes are neither read nor written, as behind a partition. */
    private volatile boolean cut;

    Server(Handler handler) {
      this.handler = handler;
    }

    /** Listens on the port of the last call, or on a free one. */
    synchronized int listen() throws IOException {
      ServerSocket opened = new ServerSocket();
      opened.setReuseAddress(true);
      opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
      port = opened.getLocalPort();
      socket = opened;
      Thread.ofVirtual().start(() -> acceptAll(opened));
      return port;
    }

    /** Closes the port and all connections, like a process that has crashed. */
    synchronized void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed in any case.
      }
      for (Socket connection : connections) {
        closeQuietly(connection);
      }
      connections.clear();
    }

    void setCut(boolean newCut) {
      cut = newCut;
    }

    private void acceptAll(ServerSocket opened) {
      while (!opened.isClosed()) {
        try {
          Socket connection = opened.accept();
          connection.setTcpNoDelay(true);
          connections.add(connection);
          Thread.ofVirtual().start(() -> serve(connection));
        } catch (IOException e) {
          // Closed, or the client has gone.
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 16384);
        OutputStream out = connection.getOutputStream();
        while (true) {
          Request request = readRequest(in);
          if (request == null) {
            return;
          }
          if (cut) {
            // The request is lost; its sender has given up when the path is back.
            awaitPath();
            return;
          }
          Response response;
          try {
            response = handler.handle(request);
          } catch (InterruptedException e) {
            return;
          } catch (Exception e) {
            e.printStackTrace();
            response = new Response(400, "{}");
          }
          if (response == null) {
            return;
          }
          awaitPath();
          writeHead(
              out,
              "HTTP/1.1 " + response.status() + " x\r\nContent-Type: application/json\r\n",
              response.body());
        }
      } catch (IOException e) {
        // The client has gone.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        connections.remove(connection);
      }
    }

    private void awaitPath() throws InterruptedException {
      while (cut) {
        Thread.sleep(5);
      }
    }
  }

  private static void writeHead(OutputStream out, String start, byte[] body) throws IOException {
    byte[] head =
        (start + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    out.write(all);
    out.flush();
  }

  private static Request readRequest(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    String[] words = start.split(" ");
    Map<String, String> headers = readHeaders(in);
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String target = words[1];
    int mark = target.indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String part : target.substring(mark + 1).split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          query.put(
              part.substring(0, equals),
              URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
    }
    return new Request(
        words[0], mark < 0 ? target : target.substring(0, mark), query, headers, body);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new IOException("the connection ended in a head");
      }
      if (line.isEmpty()) {
        return headers;
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return line.isEmpty() ? null : line.toString();
      }
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
  }

  /** Makes one call on a connection of its own; status 0 stands for no complete response. */
  static Response call(
      String address, String method, String path, String host, int timeoutMillis, String body) {
    int colon = address.lastIndexOf(':');
    try (Socket connection = new Socket()) {
      connection.connect(
          new InetSocketAddress(
              InetAddress.getByName(address.substring(0, colon)),
              Integer.parseInt(address.substring(colon + 1))),
          timeoutMillis);
      connection.setTcpNoDelay(true);
      connection.setSoTimeout(timeoutMillis);
      writeHead(
          connection.getOutputStream(),
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + host
              + "\r\nContent-Type: application/json\r\nDeadline-Milliseconds: "
              + timeoutMillis
              + "\r\nConnection: close\r\n",
          body.getBytes(StandardCharsets.UTF_8));
      InputStream in = new BufferedInputStream(connection.getInputStream());
      String status = readLine(in);
      if (status == null) {
        return new Response(0, "");
      }
      Map<String, String> headers = readHeaders(in);
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] answer = in.readNBytes(length);
      return answer.length < length
          ? new Response(0, "")
          : new Response(Integer.parseInt(status.split(" ")[1]), answer);
    } catch (IOException e) {
      return new Response(0, "");
    }
  }

  private static void closeQuietly(Socket connection) {
    try {
      connection.setSoLinger(true, 0);
      connection.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }
}
