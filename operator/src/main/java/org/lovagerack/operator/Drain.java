package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The subcommand that starts the planned stop of one entry VM. */
final class Drain {

  private Drain() {}

  static Result run(EntryClient entry, Namespace options) throws LovagerackException {
    int addresses = options.getList(Options.ENTRY).size();
    if (addresses != 1) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.MALFORMED_REQUEST,
              "drain stops the entry VM given and needs one --entry, not " + addresses));
    }
    return Result.of(
        "draining: %s%n".formatted(options.getList(Options.ENTRY).getFirst()),
        entry.call(EntryCall.post("/v1/operator/drain", "")));
  }
}
