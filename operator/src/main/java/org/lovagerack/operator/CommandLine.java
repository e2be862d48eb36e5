package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Parses the arguments, runs the subcommand and prints its result. */
final class CommandLine {

  private final ArgumentParser parser;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a command line.
   *
   * @param environment environment variables
   * @param clock clock of commands that poll
   * @param out stream for results
   * @param err stream for failures and notices
   */
  CommandLine(Map<String, String> environment, WaitClock clock, PrintStream out, PrintStream err) {
    this.parser = Subcommands.parser(environment, clock, err);
    this.out = out;
    this.err = err;
  }

  /** Runs the command line and returns the exit code. */
  int run(String... arguments) {
    Namespace options;
    try {
      options = parser.parseArgs(arguments);
    } catch (HelpScreenException e) {
      return 0;
    } catch (ArgumentParserException e) {
      PrintWriter writer = new PrintWriter(err, false, StandardCharsets.UTF_8);
      parser.handleError(e, writer);
      writer.flush();
      return ErrorKind.MALFORMED_REQUEST.exitCode();
    }
    Result result = run(options);
    if (options.getBoolean(Options.JSON)) {
      printJson(result);
    } else {
      out.print(result.text());
      result.failure().ifPresent(failure -> err.print(ProblemDetails.text(failure)));
    }
    return result.exitCode();
  }

  private static Result run(Namespace options) {
    Command command = options.get(Subcommands.COMMAND);
    try {
      return command.run(options);
    } catch (LovagerackException e) {
      return Result.failed(e.failure());
    } catch (RuntimeException e) {
      return Result.failed(Failure.mayHaveRun(ErrorKind.INTERNAL, e.toString()));
    }
  }

  private void printJson(Result result) {
    ObjectNode node = result.json();
    result.failure().ifPresent(failure -> node.set("problem", ProblemDetails.write(failure)));
    out.println(node);
  }
}
