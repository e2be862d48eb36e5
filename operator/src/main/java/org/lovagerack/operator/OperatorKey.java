package org.lovagerack.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The key that operators' calls carry. No message shows it. */
final class OperatorKey {

  static final String VARIABLE = "LOVAGERACK_OPERATOR_KEY";

  private final String key;

  private OperatorKey(String key) {
    this.key = key;
  }

  /**
   * Returns the key of the options or, if they have none, of the environment.
   *
   * @throws LovagerackException of kind {@code UNAUTHORIZED} if there is no key, or it cannot be
   *     read or sent
   */
  static OperatorKey find(Namespace options, Map<String, String> environment)
      throws LovagerackException {
    String option = options.getString(Options.OPERATOR_KEY);
    String file = options.getString(Options.OPERATOR_KEY_FILE);
    if (option != null) {
      return checked(option, "--operator-key");
    }
    if (file != null) {
      return checked(read(file).strip(), file);
    }
    return checked(
        Optional.ofNullable(environment.get(VARIABLE))
            .orElseThrow(
                () ->
                    unusable(
                        "no operator key: give --operator-key-file, --operator-key or the"
                            + " environment variable "
                            + VARIABLE)),
        VARIABLE);
  }

  String authorization() {
    return "Bearer " + key;
  }

  private static String read(String file) throws LovagerackException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw unusable("cannot read the operator key from " + file + ": " + e);
    }
  }

  private static OperatorKey checked(String key, String source) throws LovagerackException {
    // A header cannot carry other characters, and the client's own message would show the key.
    if (key.isEmpty() || !key.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw unusable("the operator key of " + source + " is empty or has invisible characters");
    }
    return new OperatorKey(key);
  }

  private static LovagerackException unusable(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.UNAUTHORIZED, detail));
  }
}
