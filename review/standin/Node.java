package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Node {

  final String name;
  final Store.Door door;
  final int clientPort = Http.freePort();
  final int readyPort = Http.freePort();
  private final int peerPort = Http.freePort();
  private final Path root;
  private final Path directory;
  private final Path settings;
  private final Record record;
  private Process process;

  Node(String name, Store store, Path root, Path directory, Record record) {
    this.name = name;
    this.door = store.new Door();
    this.root = root;
    this.directory = directory;
    this.record = record;
    this.settings = directory.resolve(name + ".json");
    Map<String, Object> fields =
        Json.map(
            "name", name,
            "failureDomain", "zone-1",
            "clientAddress", "127.0.0.1:" + clientPort,
            "readinessAddress", "127.0.0.1:" + readyPort,
            "peerAddress", peerAddress(),
            "metricsAddress", "127.0.0.1:" + Http.freePort(),
            "storeAddress", door.address(),
            "processorShare", 0.75,
            "workersPerShard", 40,
            "longestWorkerLeaseMillis", Executor.HOLD_MAXIMUM_MS,
            "statusRetentionMillis", 120_000,
            "stopWithinMillis", 6000);
    try {
      Files.writeString(settings, Json.write(fields));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the words of the {@code run} line of the deploy file. */
  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  void start() {
    try {
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
      builder.environment().put("LOVAGERACK_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = builder.start();
      Files.writeString(
          directory.resolve("pids"),
          process.pid() + "\n",
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    record.line("NODE", name, "started, pid", process.pid());
  }

  boolean running() {
    return process != null && process.isAlive();
  }

  /** Returns whether the platform's readiness check succeeds. */
  boolean ready() {
    if (!running()) {
      return false;
    }
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(
              "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] head = socket.getInputStream().readNBytes(12);
      return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long milliseconds) throws InterruptedException {
    long end = System.nanoTime() + milliseconds * 1_000_000;
    while (System.nanoTime() < end) {
      if (ready()) {
        record.line("NODE", name, "ready");
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Sends SIGTERM. */
  void terminate() {
    record.line("NODE", name, "gets SIGTERM");
    process.destroy();
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() throws InterruptedException {
    record.line("NODE", name, "gets SIGKILL");
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Sends SIGSTOP or SIGCONT. */
  void signal(String signal) {
    record.line("NODE", name, "gets SIG" + signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean awaitExit(long milliseconds) throws InterruptedException {
    return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
  }

  /** Ends the process if it runs. */
  void destroy() {
    if (running()) {
      process.destroyForcibly();
    }
  }

  /** Returns the address for other nodes. */
  String peerAddress() {
    return "127.0.0.1:" + peerPort;
  }

  /** Returns the address for clients. */
  String address() {
    return "127.0.0.1:" + clientPort;
  }
}
