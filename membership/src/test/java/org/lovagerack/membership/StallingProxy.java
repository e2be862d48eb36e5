package org.lovagerack.membership;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP proxy that can stop forwarding on existing connections without closing them. */
final class StallingProxy implements AutoCloseable {

  private final ServerSocket listener;
  private final List<Socket> sockets = new ArrayList<>();
  private volatile String target;
  private volatile int stalledConnections;
  private final AtomicInteger connections = new AtomicInteger();
  private volatile boolean dropsAnswers;

  StallingProxy() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void forwardTo(String address) {
    target = address;
  }

  int connections() {
    return connections.get();
  }

  /** Stops forwarding on all existing connections. */
  void stall() {
    stalledConnections = connections.get();
  }

  /** Drops everything that the target sends on any connection. */
  void dropAnswers() {
    dropsAnswers = true;
  }

  private void accept() throws IOException {
    while (true) {
      Socket client = listener.accept();
      String host = target;
      Socket server =
          new Socket(PeerAddress.parse(host).getAddress(), PeerAddress.parse(host).getPort());
      synchronized (sockets) {
        sockets.add(client);
        sockets.add(server);
      }
      int number = connections.incrementAndGet();
      start(() -> copy(client, server, number, false));
      start(() -> copy(server, client, number, true));
    }
  }

  private void copy(Socket from, Socket to, int number, boolean fromTarget) throws IOException {
    InputStream input = from.getInputStream();
    OutputStream output = to.getOutputStream();
    byte[] buffer = new byte[8192];
    for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
      if (number > stalledConnections && !(fromTarget && dropsAnswers)) {
        output.write(buffer, 0, count);
      }
    }
    to.close();
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
                // The test closed the sockets.
                return;
              }
            });
  }

  @Override
  public void close() throws IOException {
    listener.close();
    synchronized (sockets) {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }
}
