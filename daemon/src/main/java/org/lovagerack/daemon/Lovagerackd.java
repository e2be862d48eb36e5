package org.lovagerack.daemon;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.config.Configurator;
import org.lovagerack.eventloop.StopHook;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.settings.Settings;
import org.lovagerack.settings.SettingsLoader;

/** Main class of the entry daemon. */
public final class Lovagerackd {

  private static final int USAGE_EXIT_CODE = 2;

  private final Settings settings;
  private final EventLog log;

  private Lovagerackd(Settings settings) {
    this.settings = settings;
    Configurator.initialize(
        "lovagerackd",
        settings.logFormat() == Settings.LogFormat.JSON
            ? "classpath:log4j2-json.xml"
            : "classpath:log4j2-text.xml");
    this.log = new EventLog(Lovagerackd.class);
  }

  /** Parses the arguments and runs the daemon until it is stopped. */
  public static void main(String[] arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor("lovagerackd")
            .build()
            .description("Entry daemon of lovagerack; SIGTERM stops it as planned.")
            .epilog(
                "Exit codes: 0 drained by an operator, 1 error, 2 wrong arguments or settings,"
                    + " 143 stopped as planned by SIGTERM.");
    parser.addArgument("settings").help("settings file, JSON");
    parser
        .addArgument("--check")
        .action(Arguments.storeTrue())
        .help("check the settings file and exit");
    try {
      Namespace options = parser.parseArgs(arguments);
      Settings settings = new SettingsLoader().load(Path.of(options.getString("settings")));
      if (options.getBoolean("check")) {
        System.out.println("settings are valid");
        return;
      }
      new Lovagerackd(settings).run();
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    } catch (LovagerackException e) {
      System.err.println(e.getMessage());
      System.exit(e.failure().kind().exitCode());
    }
  }

  private void run() {
    Vertx vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(false));
    Context context = vertx.getOrCreateContext();
    context.runOnContext(ignored -> start(vertx, context));
  }

  private void start(Vertx vertx, Context context) {
    EntryVm entryVm = new EntryVm(vertx, context, settings, Lovagerackd::exit);
    entryVm
        .start()
        .onSuccess(
            address -> {
              StopHook.install(
                  context,
                  entryVm::stop,
                  () -> {
                    log.write(LogEvent.DAEMON_STOPPED);
                    LogManager.shutdown();
                  });
              log.write(
                  LogEvent.DAEMON_STARTED, "callers", address, "peers", settings.peers().address());
              System.out.println("listening on " + address);
            })
        .onFailure(
            cause -> {
              log.write(LogEvent.UNEXPECTED_ERROR, cause, "step", "start");
              System.err.println("cannot start: " + cause.getMessage());
              System.exit(ErrorKind.INTERNAL.exitCode());
            });
  }

  /**
   * Exits on a separate thread: the graceful shutdown, which the exit waits for, needs the event
   * loop.
   */
  private static void exit() {
    new Thread(() -> System.exit(0), "exit").start();
  }
}
