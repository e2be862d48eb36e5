package org.lovagerack.benchmarks.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** TCP relay in front of one entry VM that counts bytes and chunks in both directions. */
final class CountingRelay implements AutoCloseable {

  private static final int BACKLOG = 64;
  private static final int BUFFER_BYTES = 1 << 16;

  private final ServerSocket listener;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicLong chunks = new AtomicLong();
  private volatile int targetPort;

  CountingRelay() throws IOException {
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void forwardTo(int port) {
    targetPort = port;
    start(this::accept);
  }

  long bytes() {
    return bytes.get();
  }

  /** Returns the number of socket reads, which approximates the number of packets. */
  long chunks() {
    return chunks.get();
  }

  private void accept() throws IOException {
    while (true) {
      Socket client = listener.accept();
      Socket server = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      sockets.add(client);
      sockets.add(server);
      start(() -> copy(client, server));
      start(() -> copy(server, client));
    }
  }

  private void copy(Socket from, Socket to) throws IOException {
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        bytes.addAndGet(count);
        chunks.incrementAndGet();
        output.write(buffer, 0, count);
      }
    }
  }

  private interface Action {
    void run() throws IOException;
  }

  private static void start(Action action) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                action.run();
              } catch (IOException e) {
                // One side closed the connection.
                return;
              }
            });
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
