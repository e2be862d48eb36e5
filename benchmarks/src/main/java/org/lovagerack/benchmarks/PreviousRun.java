package org.lovagerack.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads an earlier run of the lovagerack policy as an additional baseline. Its arrivals are the
 * same, because they depend only on the seed and the simulated time.
 */
final class PreviousRun {

  private static final String POLICY_NAME = "previous";

  private PreviousRun() {}

  /**
   * Reads the rows of the lovagerack policy from a report printed with {@code --json}.
   *
   * @throws IOException if the file cannot be read or has another seed or simulated time
   */
  static List<ReportRow> read(Path file, BenchmarkOptions options) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    JsonNode report = mapper.readTree(file.toFile());
    long seed = report.required("seed").asLong();
    long seconds = report.required("seconds").asLong();
    if (seed != options.seed() || seconds != options.horizon().toSeconds()) {
      throw new IOException(
          "%s has seed %d and %d s, this run has seed %d and %d s"
              .formatted(file, seed, seconds, options.seed(), options.horizon().toSeconds()));
    }
    List<ReportRow> rows = new ArrayList<>();
    for (JsonNode node : report.required("rows")) {
      ReportRow row = mapper.treeToValue(node, ReportRow.class);
      if (!row.baseline()) {
        rows.add(row.asBaseline(POLICY_NAME));
      }
    }
    return rows;
  }
}
