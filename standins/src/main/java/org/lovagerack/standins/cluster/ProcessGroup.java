package org.lovagerack.standins.cluster;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts Java processes, waits until each listens on its port, and stops all of them. */
public final class ProcessGroup implements AutoCloseable {

  private static final Pattern LISTENING = Pattern.compile("listening on (\\S+)");
  private static final int STOP_SECONDS = 10;

  /** A started process and the address that it printed. */
  public record Started(Process process, String address) {}

  private final String java;
  private final Path logFolder;
  private final List<Process> processes = new ArrayList<>();

  public ProcessGroup(Path logFolder) {
    this.java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    this.logFolder = logFolder;
  }

  /**
   * Starts a main class and waits until it prints the address that it listens on.
   *
   * @throws IOException if the process cannot be started, or exits before it listens
   */
  public Started start(String name, String classPath, String mainClass, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>(List.of(java, "-Xmx256m", "-XX:+UseSerialGC"));
    command.addAll(List.of("--enable-native-access=ALL-UNNAMED", "-cp", classPath, mainClass));
    command.addAll(arguments);
    Path errors = logFolder.resolve(name + ".log");
    Process process = new ProcessBuilder(command).redirectError(errors.toFile()).start();
    processes.add(process);
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      Matcher matcher = LISTENING.matcher(line);
      if (matcher.find()) {
        discardRemaining(output);
        return new Started(process, matcher.group(1));
      }
    }
    throw new IOException(name + " exited before it listened on a port, see " + errors);
  }

  /** Reads the remaining output, so that the process does not block on a full pipe. */
  private static void discardRemaining(BufferedReader output) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                output.transferTo(Writer.nullWriter());
              } catch (IOException e) {
                // The process has exited; no output is left.
                return;
              }
            });
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
          System.err.println("process " + process.pid() + " did not exit in time");
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
