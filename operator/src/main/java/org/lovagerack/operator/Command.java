package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.LovagerackException;

/** A subcommand. */
@FunctionalInterface
interface Command {

  /**
   * Runs the subcommand.
   *
   * @throws LovagerackException if the subcommand fails without output
   */
  Result run(Namespace options) throws LovagerackException;
}
