package org.lovagerack.foundation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.LogEvent;

/** Guards against documented lists of errors and log events that differ from the code. */
final class CatalogueTest {

  @Test
  void documentListsExactlyTheErrorKinds() throws IOException {
    List<String> expected = Arrays.stream(ErrorKind.values()).map(CatalogueTest::errorRow).toList();

    assertThat(rows("../docs/errors.md", "\\| `.*")).containsExactlyElementsOf(expected);
  }

  @Test
  void documentListsExactlyTheLogEvents() throws IOException {
    List<String> expected =
        Arrays.stream(LogEvent.values())
            .sorted(Comparator.comparingInt(LogEvent::number))
            .map(CatalogueTest::eventRow)
            .toList();

    assertThat(rows("../docs/log-events.md", "\\| \\d+ .*")).containsExactlyElementsOf(expected);
  }

  @Test
  void numbersOfLogEventsAreUnique() {
    assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number)).doesNotHaveDuplicates();
  }

  private static List<String> rows(String file, String pattern) throws IOException {
    return Files.readAllLines(Path.of(file)).stream()
        .filter(line -> line.matches(pattern))
        .toList();
  }

  private static String errorRow(ErrorKind kind) {
    return "| `%s` | %d | %d | %s | %s |"
        .formatted(
            kind.wireName(),
            kind.httpStatus(),
            kind.exitCode(),
            kind.guaranteesNotRun() ? "always" : "see outcome",
            kind.title());
  }

  private static String eventRow(LogEvent event) {
    return "| %d | `%s` | %s | %s |"
        .formatted(event.number(), event.name(), event.severity(), event.text());
  }
}
