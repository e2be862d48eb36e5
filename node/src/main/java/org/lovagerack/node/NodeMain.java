package org.lovagerack.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.eventloop.EventLoopTimer;
import org.lovagerack.eventloop.OutOfMemoryExit;
import org.lovagerack.eventloop.StopHook;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.node.settings.NodeSettings;
import org.lovagerack.node.settings.NodeSettingsLoader;

/** Main class of an entry VM. */
public final class NodeMain {

  private static final int USAGE_EXIT_CODE = 2;

  /** Environment variable with the path of the settings file, used without an argument. */
  private static final String SETTINGS_VARIABLE = "LOVAGERACK_NODE_FILE";

  /** Action on SIGHUP; does nothing until the settings are loaded. */
  private static final AtomicReference<Runnable> ON_HANGUP = new AtomicReference<>(() -> {});

  private final EventLog log = new EventLog(NodeMain.class);
  private final Path settingsFile;
  private final NodeSettings settings;

  private NodeMain(Path settingsFile, NodeSettings settings) {
    this.settingsFile = settingsFile;
    this.settings = settings;
  }

  /** Runs the entry VM until it receives SIGTERM. */
  public static void main(String[] arguments) {
    NodeLogging.configure();
    Thread.setDefaultUncaughtExceptionHandler(NodeMain::handleUncaught);
    // Installed first, because SIGHUP ends the process until then.
    HangupSignal.handle(() -> ON_HANGUP.get().run());
    ArgumentParser parser =
        ArgumentParsers.newFor("lovagerack-node")
            .build()
            .description("Entry VM of lovagerack; SIGTERM shuts it down gracefully.")
            .epilog(
                "Exit codes: 1 error, 2 invalid arguments or settings, 143 graceful shutdown after"
                    + " SIGTERM.");
    parser
        .addArgument("settings")
        .nargs("?")
        .help(
            "settings file, JSON; defaults to the path in " + SETTINGS_VARIABLE + " if it is set");
    parser
        .addArgument("--check")
        .action(Arguments.storeTrue())
        .help("check the settings file and exit");
    try {
      Namespace options = parser.parseArgs(arguments);
      String argument = options.getString("settings");
      String file = argument == null ? System.getenv(SETTINGS_VARIABLE) : argument;
      if (file == null) {
        throw new ArgumentParserException("no settings file is given", parser);
      }
      NodeSettings settings = new NodeSettingsLoader().load(Path.of(file));
      if (options.getBoolean("check")) {
        System.out.println("settings are valid");
        return;
      }
      new NodeMain(Path.of(file), settings).run();
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    } catch (LovagerackException e) {
      System.err.println(e.getMessage());
      System.exit(e.failure().kind().exitCode());
    }
  }

  private static void handleUncaught(Thread thread, Throwable cause) {
    OutOfMemoryExit.check(cause);
    new EventLog(NodeMain.class)
        .write(LogEvent.UNEXPECTED_ERROR, cause, "thread", thread.getName());
  }

  /** Creates a Vert.x instance with a single event loop and minimal thread pools. */
  static Vertx vertx() {
    return Vertx.vertx(
        new VertxOptions()
            .setPreferNativeTransport(false)
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setFileCachingEnabled(false)
                    .setClassPathResolvingEnabled(false)));
  }

  private void run() {
    Vertx vertx = vertx();
    Context context = vertx.getOrCreateContext();
    context.exceptionHandler(
        cause -> {
          OutOfMemoryExit.check(cause);
          log.write(LogEvent.UNEXPECTED_ERROR, cause);
        });
    ON_HANGUP.set(this::reload);
    context.runOnContext(ignored -> start(vertx, context));
  }

  private void start(Vertx vertx, Context context) {
    SplittableRandom seeds =
        new SplittableRandom(
            ProcessSeed.of(settings.name(), System.currentTimeMillis(), System.nanoTime()));
    EntryNode node =
        new EntryNode(
            vertx, settings, new EventLoopTimer(vertx, context), seeds.split(), seeds.nextLong());
    node.start()
        .onSuccess(
            ignored -> {
              StopHook.install(
                  context,
                  node::stop,
                  () -> {
                    log.write(LogEvent.DAEMON_STOPPED);
                    NodeLogging.finish();
                  });
              log.write(
                  LogEvent.DAEMON_STARTED,
                  "name",
                  settings.name(),
                  "clients",
                  settings.clientAddress(),
                  "peers",
                  settings.peerAddress());
            })
        .onFailure(
            cause -> {
              log.write(LogEvent.UNEXPECTED_ERROR, cause, "step", "start");
              NodeLogging.finish();
              System.exit(ErrorKind.INTERNAL.exitCode());
            });
  }

  /** Validates the settings file; changed values take effect at the next process start. */
  private void reload() {
    try {
      NodeSettings changed = new NodeSettingsLoader().load(settingsFile);
      log.write(LogEvent.SETTINGS_RELOADED, "changed", !changed.equals(settings));
    } catch (LovagerackException e) {
      log.write(LogEvent.SETTINGS_REJECTED, "reason", e.getMessage());
    }
  }
}
