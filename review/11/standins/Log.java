package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Log implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start, milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String who, String what) {
    out.printf("%9.3f %-10s %s%n", millis() / 1000.0, who, what);
  }

  /** Writes a line to the file and to the standard output. */
  synchronized void show(String what) {
    line("script", what);
    System.out.println(what);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
