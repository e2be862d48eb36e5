package org.lovagerack.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The input file of a subcommand. */
final class InputFile {

  private InputFile() {}

  /**
   * Returns the contents of the file.
   *
   * @throws LovagerackException of kind {@code MALFORMED_REQUEST} if it cannot be read
   */
  static String read(Namespace options) throws LovagerackException {
    Path file = path(options);
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new LovagerackException(
          Failure.notRun(ErrorKind.MALFORMED_REQUEST, "cannot read " + file + ": " + e), e);
    }
  }

  static Path path(Namespace options) {
    return Path.of(options.getString(Options.FILE));
  }
}
