package org.lovagerack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One process of an entry VM; signals go to this process only. */
final class VmProcess {

  /** The size that the platform's smallest VM allows, see deploy/java-options. */
  private static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xmx160m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Dvertx.disableDnsResolver=true",
          "--enable-native-access=ALL-UNNAMED");

  private static final String MAIN_CLASS = "org.lovagerack.node.NodeMain";

  private final Process process;

  private VmProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a process.
   *
   * @param log file to which its output is appended
   * @throws UncheckedIOException if it cannot be started
   */
  static VmProcess start(Path settings, Path log) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_OPTIONS);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS, settings.toString()));
    try {
      return new VmProcess(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a callback on an unspecified thread when the process has ended. */
  void onExit(Runnable callback) {
    CompletableFuture<Void> unused = process.onExit().thenRun(callback);
  }

  /** Ends the process without warning. */
  void kill() {
    process.destroyForcibly();
  }

  /** Asks the process to stop. */
  void terminate() {
    signal("TERM");
  }

  /** Stops the process from running until {@link #resume}. */
  void pause() {
    signal("STOP");
  }

  /** Lets a paused process run. */
  void resume() {
    signal("CONT");
  }

  /** Asks the process to read its settings again. */
  void reload() {
    signal("HUP");
  }

  private void signal(String name) {
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
