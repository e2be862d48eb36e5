package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.LovagerackException;

/** A subcommand. */
@FunctionalInterface
interface Command {

  /**
   * Runs the subcommand.
   *
   * @throws LovagerackException if there is no result
   */
  Result run(Namespace options) throws LovagerackException;
}
