package org.lovagerack.operator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Entry point of the command {@code lovagerack}. */
public final class Lovagerack {

  private Lovagerack() {}

  /** Runs one subcommand and exits with its exit code. */
  public static void main(String[] arguments) {
    // Standard output is reserved for results, so log lines go to standard error. Log4j reads this
    // property when the first logger is created.
    System.setProperty("log4j2.configurationFile", "classpath:org/lovagerack/operator/log4j2.xml");
    PrintStream out = utf8(FileDescriptor.out);
    PrintStream err = utf8(FileDescriptor.err);
    int exitCode = new CommandLine(System.getenv(), WaitClock.SYSTEM, out, err).run(arguments);
    out.flush();
    err.flush();
    System.exit(exitCode);
  }

  private static PrintStream utf8(FileDescriptor descriptor) {
    return new PrintStream(new FileOutputStream(descriptor), false, StandardCharsets.UTF_8);
  }
}
