package org.lovagerack.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Rows of an earlier run of the own policy as one more baseline. They are on the same arrivals,
 * because these follow from the seed and the simulated time alone.
 */
final class PreviousRun {

  private static final String NAME = "previous";

  private PreviousRun() {}

  /**
   * Reads the rows of the own policy from a report that {@code --json} printed.
   *
   * @throws IOException if the file cannot be read or is of another seed or simulated time
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
        rows.add(row.asBaseline(NAME));
      }
    }
    return rows;
  }
}
