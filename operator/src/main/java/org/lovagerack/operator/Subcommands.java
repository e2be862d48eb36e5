package org.lovagerack.operator;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.lovagerack.foundation.error.LovagerackException;

/** Defines the subcommands and their options. */
final class Subcommands {

  /** Name under which the parsed options hold the {@link Command}. */
  static final String COMMAND = "command";

  private static final String EXIT_CODES =
      "Exit codes: 0 success, 1 internal error, 2 usage or malformed input, 3 not found,"
          + " 4 conflict, 5 deadline or time limit passed, 6 refused or unreachable for now,"
          + " 7 cancelled, 8 failed or outcome unknown, 9 platform unavailable or publication"
          + " unknown, 10 operator key missing or wrong. docs/operator-cli.md has the details.";

  private final Map<String, String> environment;
  private final Subparsers subparsers;

  private Subcommands(Map<String, String> environment, Subparsers subparsers) {
    this.environment = environment;
    this.subparsers = subparsers;
  }

  /**
   * Returns the parser of the whole command line.
   *
   * @param environment environment variables
   * @param clock clock of commands that poll
   * @param notices receives messages for the user while the command runs
   */
  static ArgumentParser parser(
      Map<String, String> environment, WaitClock clock, PrintStream notices) {
    ArgumentParser parser =
        ArgumentParsers.newFor("lovagerack")
            .build()
            .description("Command line for operators of lovagerack.")
            .epilog(EXIT_CODES);
    Subcommands subcommands =
        new Subcommands(
            environment, parser.addSubparsers().title("subcommands").metavar("SUBCOMMAND"));
    subcommands.addNotes(new NoteCommands(clock));
    subcommands.addJobs(new JobCommands(clock, notices));
    subcommands.addOperations();
    subcommands.addChecks();
    return parser;
  }

  private void addNotes(NoteCommands notes) {
    Subparser publish =
        operatorCall("publish", "publish a release note and print its revision", notes::publish);
    Options.addFile(publish, "release note, JSON");
    Options.addWait(
        publish, "wait until the revision is in force on every entry VM that is reachable");
    operatorCall("in-force", "show the revision in force on each entry VM", notes::inForce)
        .addArgument("--deployment")
        .dest(NoteCommands.DEPLOYMENT)
        .action(Arguments.storeTrue())
        .help("show the services, upstreams and quotas in force");
  }

  private void addJobs(JobCommands jobs) {
    Subparser submit = entryCall("submit", "submit a job under an identifier", false, jobs::submit);
    Options.addFile(submit, "job, JSON");
    Options.addWait(submit, "wait until the job ends");
    submit
        .addArgument("--id")
        .dest(Options.ID)
        .type(Options::parseId)
        .metavar("ID")
        .help("submission identifier; reuse it to retry after a lost answer (default: a new one)");
    entryCall("issue-ids", "issue submission identifiers", false, jobs::issueIds)
        .addArgument(JobCommands.COUNT)
        .type(Integer.class)
        .choices(Arguments.range(1, Integer.MAX_VALUE))
        .metavar("COUNT")
        .help("how many");
    Subparser job = entryCall("job", "show the state or the answer of a job", false, jobs::show);
    Options.addId(job);
    Options.addWait(job, "wait until the job ends");
    Options.addId(entryCall("cancel", "cancel a job", false, jobs::cancel));
  }

  private void addOperations() {
    operatorCall(
        "drain", "stop the given entry VM after its jobs have finished", DrainCommand::run);
    operatorCall("burn", "show how fast services use their error budgets", BurnCommand::run)
        .addArgument("--html")
        .dest(BurnCommand.HTML)
        .metavar("FILE")
        .help("also write the report as an HTML page");
  }

  private void addChecks() {
    Options.addFile(
        add("check-settings", "check settings of an entry VM", CheckCommands::settings),
        "settings, JSON");
    Options.addFile(
        add("check-note", "check the form of a release note", CheckCommands::note),
        "release note, JSON");
  }

  private Subparser operatorCall(String name, String help, EntryCommand command) {
    Subparser parser = entryCall(name, help, true, command);
    Options.addOperatorKey(parser);
    return parser;
  }

  private Subparser entryCall(String name, String help, boolean withKey, EntryCommand command) {
    Subparser parser = add(name, help, options -> call(options, withKey, command));
    Options.addEntry(parser);
    return parser;
  }

  private Subparser add(String name, String help, Command command) {
    Subparser parser =
        subparsers
            .addParser(name)
            .help(help)
            .description(Character.toUpperCase(help.charAt(0)) + help.substring(1) + ".")
            .epilog(EXIT_CODES)
            .setDefault(COMMAND, command);
    Options.addJson(parser);
    return parser;
  }

  private Result call(Namespace options, boolean withKey, EntryCommand command)
      throws LovagerackException {
    Optional<OperatorKey> key =
        withKey ? Optional.of(OperatorKey.find(options, environment)) : Optional.empty();
    List<EntryAddress> addresses = options.getList(Options.ENTRY);
    Duration timeout = options.get(Options.TIMEOUT);
    try (EntryClient entry = new EntryClient(addresses, new HttpSender(timeout, key))) {
      return command.run(entry, options);
    }
  }
}
