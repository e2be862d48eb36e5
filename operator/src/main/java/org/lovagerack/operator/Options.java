package org.lovagerack.operator;

import java.time.Duration;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Names and definitions of options that several subcommands share. */
final class Options {

  static final String ENTRY = "entry";
  static final String JSON = "json";
  static final String TIMEOUT = "timeout";
  static final String OPERATOR_KEY = "operatorKey";
  static final String OPERATOR_KEY_FILE = "operatorKeyFile";
  static final String FILE = "file";
  static final String WAIT = "wait";
  static final String ID = "id";

  private static final int DEFAULT_TIMEOUT_SECONDS = 10;
  private static final int MAX_SECONDS = 86_400;

  private Options() {}

  static void addJson(ArgumentParser parser) {
    parser
        .addArgument("--json")
        .dest(JSON)
        .action(Arguments.storeTrue())
        .help("print one JSON object, in which a failure is \"problem\"");
  }

  static void addEntry(ArgumentParser parser) {
    parser
        .addArgument("--entry")
        .dest(ENTRY)
        .action(Arguments.append())
        .required(true)
        .type(Options::parseAddress)
        .metavar("HOST:PORT")
        .help("an entry VM; may be repeated, the next is tried if one cannot be reached");
    parser
        .addArgument("--timeout")
        .dest(TIMEOUT)
        .type(Options::parseSeconds)
        .setDefault(Duration.ofSeconds(DEFAULT_TIMEOUT_SECONDS))
        .metavar("SECONDS")
        .help("how long an answer may take, beyond --wait (default: 10)");
  }

  static void addOperatorKey(ArgumentParser parser) {
    parser
        .addArgument("--operator-key")
        .dest(OPERATOR_KEY)
        .metavar("KEY")
        .help(
            "operator key; other users of the machine can see it in the list of processes, so"
                + " prefer --operator-key-file or the variable "
                + OperatorKey.VARIABLE);
    parser
        .addArgument("--operator-key-file")
        .dest(OPERATOR_KEY_FILE)
        .metavar("FILE")
        .help("file that holds the operator key");
  }

  static void addWait(ArgumentParser parser, String help) {
    parser
        .addArgument("--wait")
        .dest(WAIT)
        .type(Options::parseSeconds)
        .setDefault(Duration.ZERO)
        .metavar("SECONDS")
        .help(help);
  }

  static void addFile(ArgumentParser parser, String help) {
    parser.addArgument(FILE).metavar("FILE").help(help);
  }

  static void addId(ArgumentParser parser) {
    parser
        .addArgument(ID)
        .type(Options::parseId)
        .metavar("ID")
        .help("submission identifier of the job");
  }

  /** Returns the value of {@code --wait}; zero if it is missing. */
  static Duration wait(Namespace options) {
    return options.get(WAIT);
  }

  private static EntryAddress parseAddress(ArgumentParser parser, Argument argument, String value)
      throws ArgumentParserException {
    try {
      return EntryAddress.parse(value);
    } catch (IllegalArgumentException e) {
      throw new ArgumentParserException(e.getMessage(), e, parser, argument);
    }
  }

  /** Accepts only visible characters, because the identifier is sent in a header and a path. */
  static String parseId(ArgumentParser parser, Argument argument, String value)
      throws ArgumentParserException {
    if (!value.matches("[!-~]{1,1024}")) {
      throw new ArgumentParserException(
          "'%s' is not a submission identifier".formatted(value), parser, argument);
    }
    return value;
  }

  private static Duration parseSeconds(ArgumentParser parser, Argument argument, String value)
      throws ArgumentParserException {
    if (!value.matches("\\d{1,5}") || Integer.parseInt(value) > MAX_SECONDS) {
      throw new ArgumentParserException(
          "'%s' is not a number of seconds from 0 to %d".formatted(value, MAX_SECONDS),
          parser,
          argument);
    }
    return Duration.ofSeconds(Integer.parseInt(value));
  }
}
