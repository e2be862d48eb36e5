package org.lovagerack.benchmarks;

import java.time.Duration;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command-line options.
 *
 * @param seed seed of all random numbers
 * @param horizon simulated time in which jobs arrive
 * @param scenario text that the names of the scenarios to run contain; empty for all
 * @param json whether to print JSON instead of tables
 * @param traces number of jobs around the 99th percentile to print for each row
 * @param previous file with the JSON report of an earlier run to compare with; empty for none
 */
record BenchmarkOptions(
    long seed, Duration horizon, String scenario, boolean json, int traces, String previous) {

  static BenchmarkOptions parse(ArgumentParser parser, String[] arguments)
      throws ArgumentParserException {
    Namespace parsed = parser.parseArgs(arguments);
    long seconds = parsed.getLong("seconds");
    if (seconds <= Simulation.WARM_UP.toSeconds()) {
      throw new ArgumentParserException(
          "--seconds must be greater than " + Simulation.WARM_UP.toSeconds() + ": " + seconds,
          parser);
    }
    return new BenchmarkOptions(
        parsed.getLong("seed"),
        Duration.ofSeconds(seconds),
        parsed.getString("scenario"),
        parsed.getBoolean("json"),
        parsed.getInt("traces"),
        parsed.getString("previous"));
  }

  static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("benchmark-policies")
            .build()
            .description("Compares dispatch policies on the same arrivals in simulated time.");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the random numbers");
    parser
        .addArgument("--seconds")
        .type(Long.class)
        .setDefault(180L)
        .help("simulated seconds in which jobs arrive");
    parser
        .addArgument("--scenario")
        .setDefault("")
        .help("run only scenarios whose user/name contains this text, such as maracas/load-70");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    parser
        .addArgument("--traces")
        .type(Integer.class)
        .setDefault(0)
        .help(
            "print this many jobs around the 99th percentile for each row of the lovagerack policy");
    parser
        .addArgument("--previous")
        .setDefault("")
        .help("compare with the lovagerack policy of an earlier run, from its --json report");
    return parser;
  }
}
