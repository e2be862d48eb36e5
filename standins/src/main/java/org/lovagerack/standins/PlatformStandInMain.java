package org.lovagerack.standins;

import io.vertx.core.Vertx;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs the platform stand-in as a process and prints the address on which it listens. */
public final class PlatformStandInMain {

  private PlatformStandInMain() {}

  /** Starts the stand-in, which runs until the process is stopped. */
  public static void main(String[] arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor("platform-stand-in")
            .build()
            .defaultHelp(true)
            .description("Runs an in-memory platform with configurable faults.");
    parser.addArgument("--host").setDefault("127.0.0.1").help("address to listen on");
    parser
        .addArgument("--port")
        .type(Integer.class)
        .setDefault(0)
        .help("port to listen on, 0 for any free one");
    parser.addArgument("--key").required(true).help("key that callers must present");
    Namespace namespace = parser.parseArgsOrFail(arguments);
    Vertx vertx = Vertx.vertx();
    new PlatformStandIn(vertx, namespace.getString("key"))
        .start(namespace.getString("host"), namespace.getInt("port"))
        .onSuccess(
            port -> System.out.println("listening on " + namespace.getString("host") + ":" + port))
        .onFailure(
            cause -> {
              System.err.println("cannot listen: " + cause.getMessage());
              vertx.close();
            });
  }
}
