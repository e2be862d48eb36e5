package org.lovagerack.standins.upstream;

import io.vertx.core.Vertx;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs an upstream stand-in as a process and prints the address on which it listens. */
public final class UpstreamStandInMain {

  private UpstreamStandInMain() {}

  /** Starts the process. */
  public static void main(String[] arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor("upstream-stand-in")
            .build()
            .description("Runs an upstream stand-in.");
    parser
        .addArgument("--port")
        .type(Integer.class)
        .setDefault(0)
        .help("port to listen on, 0 for any free one");
    parser
        .addArgument("--slots")
        .type(Integer.class)
        .setDefault(8)
        .help("maximum number of concurrent tasks");
    parser
        .addArgument("--speed")
        .type(Double.class)
        .setDefault(1.0)
        .help("factor by which the work of each task is divided");
    Namespace options;
    try {
      options = parser.parseArgs(arguments);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(2);
      return;
    }
    UpstreamStandIn upstream =
        new UpstreamStandIn(Vertx.vertx(), options.getInt("slots"), options.getDouble("speed"));
    upstream
        .listen(options.getInt("port"))
        .onSuccess(port -> System.out.println("listening on 127.0.0.1:" + port))
        .onFailure(
            cause -> {
              System.err.println("cannot listen: " + cause.getMessage());
              System.exit(1);
            });
  }
}
