package org.lovagerack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A process of an entry VM. Signals are sent to this process only. */
final class VmProcess {

  /** Options for the platform's smallest VM, see deploy/java-options. */
  private static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xmx160m",
          "-XX:+ExitOnOutOfMemoryError",
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
   * @param log file to which the output of the process is appended
   * @throws UncheckedIOException if the process cannot be started
   */
  static VmProcess start(Path settings, Path log) {
    return start(JAVA_OPTIONS, settings, log);
  }

  /**
   * Starts a process with the given options of the JVM.
   *
   * @param log file to which the output of the process is appended
   * @throws UncheckedIOException if the process cannot be started
   */
  static VmProcess start(List<String> javaOptions, Path settings, Path log) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions);
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

  /** Returns the handle of the process. */
  Process process() {
    return process;
  }

  /** Runs a callback on an unspecified thread when the process has ended. */
  void onExit(Runnable callback) {
    CompletableFuture<Void> unused = process.onExit().thenRun(callback);
  }

  /** Kills the process by SIGKILL. */
  void kill() {
    process.destroyForcibly();
  }

  /** Starts the graceful shutdown of the process by SIGTERM. */
  void terminate() {
    signal("TERM");
  }

  /** Suspends the process until {@link #resume}. */
  void suspend() {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  void resume() {
    signal("CONT");
  }

  /** Makes the process reload its settings by SIGHUP. */
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
