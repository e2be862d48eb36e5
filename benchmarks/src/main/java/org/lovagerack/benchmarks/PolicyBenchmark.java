package org.lovagerack.benchmarks;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Compares dispatch policies in simulated time; see {@code docs/BENCHMARKS.md}. */
public final class PolicyBenchmark {

  private PolicyBenchmark() {}

  /** Runs the comparison; exits with code 2 if the arguments are invalid. */
  public static void main(String[] arguments) throws Exception {
    ArgumentParser parser = BenchmarkOptions.parser();
    BenchmarkOptions options;
    try {
      options = BenchmarkOptions.parse(parser, arguments);
    } catch (ArgumentParserException invalid) {
      parser.handleError(invalid);
      System.exit(2);
      return;
    }
    run(options, System.out);
  }

  private static void run(BenchmarkOptions options, PrintStream out) throws Exception {
    Comparison comparison = new Comparison(options);
    List<ReportRow> previous =
        options.previous().isEmpty()
            ? List.of()
            : PreviousRun.read(Path.of(options.previous()), options);
    List<ReportRow> rows = ReportRow.merge(ReportRow.fromRuns(comparison.run()), previous);
    List<ReportRow> sweep = ReportRow.fromRuns(comparison.sweep());
    List<MissedTarget> misses = MissedTarget.find(rows);
    if (options.json()) {
      JsonReport.print(options, rows, sweep, misses, out);
    } else {
      TextReport.print(options, rows, sweep, misses, out);
    }
  }
}
