package org.lovagerack.benchmarks.capacity;

import java.io.PrintStream;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/** Measures how resource use grows with size and prints the slopes as a Markdown table. */
public final class CapacityBenchmark {

  private static final int USAGE_EXIT_CODE = 2;

  private final CapacitySizes sizes;
  private final PrintStream output;

  CapacityBenchmark(CapacitySizes sizes, PrintStream output) {
    this.sizes = sizes;
    this.output = output;
  }

  /** Runs the benchmark. */
  public static void main(String[] arguments) throws Exception {
    ArgumentParser parser =
        ArgumentParsers.newFor("measure-capacity")
            .build()
            .description("Measures processor time, memory, bytes and calls as the system grows.");
    parser
        .addArgument("--tiny")
        .action(Arguments.storeTrue())
        .help("use tiny sizes, which only check that every measurement runs");
    try {
      boolean tiny = parser.parseArgs(arguments).getBoolean("tiny");
      // Keep log events of the simulated entry VMs out of the output.
      Configurator.setRootLevel(Level.OFF);
      new CapacityBenchmark(tiny ? CapacitySizes.tiny() : CapacitySizes.full(), System.out).run();
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    }
  }

  void run() throws Exception {
    output.println(Measurement.header());
    print(new StartMeasurements(sizes).run());
    print(new MemoryMeasurements(sizes).run());
    print(new NoteMeasurements(sizes).run());
    print(new FollowerMeasurements(sizes).run());
    print(new RestartMeasurements(sizes).run());
    print(new PeerMeasurements(sizes).run());
  }

  private void print(List<Measurement> measurements) {
    measurements.forEach(measurement -> output.println(measurement.row()));
    output.flush();
  }
}
