package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The subcommand that starts the graceful shutdown of one entry VM. */
final class DrainCommand {

  private DrainCommand() {}

  static Result run(EntryClient entry, Namespace options) throws LovagerackException {
    int addresses = options.getList(Options.ENTRY).size();
    if (addresses != 1) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.MALFORMED_REQUEST,
              "drain stops a single entry VM and takes exactly one --entry, not " + addresses));
    }
    return Result.of(
        "draining: %s%n".formatted(options.getList(Options.ENTRY).getFirst()),
        entry.call(EntryCall.post("/v1/operator/drain", "")));
  }
}
