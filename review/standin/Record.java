package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start, in milliseconds. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void line(String kind, Object... details) {
    StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%10.1f %-9s", now(), kind));
    for (Object detail : details) {
      line.append(' ').append(detail);
    }
    out.println(line);
    out.flush();
  }
}
