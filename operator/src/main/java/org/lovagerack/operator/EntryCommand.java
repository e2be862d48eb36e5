package org.lovagerack.operator;

import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.LovagerackException;

/** A subcommand that calls entry VMs. */
@FunctionalInterface
interface EntryCommand {

  /**
   * Runs the subcommand.
   *
   * @throws LovagerackException if the subcommand fails without output
   */
  Result run(EntryClient entry, Namespace options) throws LovagerackException;
}
