package org.lovagerack.benchmarks;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prints the results as one JSON document. */
final class JsonReport {

  private JsonReport() {}

  static void print(
      BenchmarkOptions options,
      List<ReportRow> rows,
      List<ReportRow> sweep,
      List<MissedTarget> misses,
      PrintStream out)
      throws IOException {
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("seed", options.seed());
    report.put("seconds", options.horizon().toSeconds());
    report.put("rows", rows);
    report.put("sweep", sweep);
    report.put("misses", misses);
    ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    out.println(mapper.writeValueAsString(report));
  }
}
