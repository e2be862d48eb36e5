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

/** Command line of the soak. */
public final class SoakMain {

  private static final int BROKEN_EXIT_CODE = 1;
  private static final int USAGE_EXIT_CODE = 2;

  private SoakMain() {}

  /** Plays each seed after the other; exits with 1 if a promise was broken. */
  public static void main(String[] arguments) throws InterruptedException, ExecutionException {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description("Plays randomized faults against real entry VM processes.")
            .epilog("Exit codes: 0 every promise was kept, 1 one was broken, 2 wrong arguments.");
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
        .help("jobs that clients submit");
    parser.addArgument("--folder").setDefault("target/soak").help("settings and logs of each seed");
    try {
      Namespace parsed = parser.parseArgs(arguments);
      System.exit(play(parsed) ? 0 : BROKEN_EXIT_CODE);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_EXIT_CODE);
    }
  }

  private static boolean play(Namespace parsed) throws InterruptedException, ExecutionException {
    SoakOptions options =
        new SoakOptions(
            Duration.ofSeconds(parsed.getInt("seconds")),
            parsed.getInt("vms"),
            parsed.getInt("workers"),
            parsed.getInt("jobs_per_second"),
            true,
            Path.of(parsed.getString("folder")));
    long first = parsed.getLong("first_seed");
    boolean kept = true;
    for (long seed : LongStream.range(first, first + parsed.getInt("seeds")).toArray()) {
      Soak soak = new Soak(seed, options);
      List<String> broken = soak.run().toCompletionStage().toCompletableFuture().get();
      System.out.printf("seed=%d broken=%d %s%n", seed, broken.size(), soak.summary());
      broken.forEach(sentence -> System.out.println("  " + sentence));
      kept &= broken.isEmpty();
    }
    return kept;
  }
}
