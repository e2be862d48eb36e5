package org.lovagerack.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the soak test. */
public final class SoakMain {

  private static final int VIOLATION_EXIT_CODE = 1;
  private static final int USAGE_EXIT_CODE = 2;

  private SoakMain() {}

  /** Runs one soak test per seed, one after the other; exits with 1 after a violation. */
  public static void main(String[] arguments) throws InterruptedException, ExecutionException {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description(
                "Injects random faults into real entry VM processes and checks the guarantees.")
            .epilog("Exit codes: 0 no violation, 1 at least one violation, 2 invalid arguments.");
    parser.addArgument("--first-seed").type(Long.class).setDefault(1L).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of seeds");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(20)
        .help("time for which faults are injected, seconds");
    parser.addArgument("--vms").type(Integer.class).setDefault(4).help("entry VM processes");
    parser.addArgument("--workers").type(Integer.class).setDefault(8).help("workers");
    parser
        .addArgument("--jobs-per-second")
        .type(Integer.class)
        .setDefault(40)
        .help("jobs submitted per second");
    parser
        .addArgument("--folder")
        .setDefault("target/soak")
        .help("folder for the settings and logs of each seed");
    try {
      Namespace parsed = parser.parseArgs(arguments);
      System.exit(runSeeds(parsed) ? 0 : VIOLATION_EXIT_CODE);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_EXIT_CODE);
    }
  }

  private static boolean runSeeds(Namespace parsed)
      throws InterruptedException, ExecutionException {
    SoakOptions options =
        new SoakOptions(
            Duration.ofSeconds(parsed.getInt("seconds")),
            parsed.getInt("vms"),
            parsed.getInt("workers"),
            parsed.getInt("jobs_per_second"),
            true,
            Path.of(parsed.getString("folder")));
    long first = parsed.getLong("first_seed");
    boolean passed = true;
    for (long seed : LongStream.range(first, first + parsed.getInt("seeds")).toArray()) {
      Soak soak = new Soak(seed, options);
      List<String> violations = soak.run().toCompletionStage().toCompletableFuture().get();
      System.out.printf("seed=%d broken=%d %s%n", seed, violations.size(), soak.summary());
      violations.forEach(violation -> System.out.println("  " + violation));
      passed &= violations.isEmpty();
    }
    return passed;
  }
}
