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

/** The key that authorizes operator calls. It must not appear in any message. */
final class OperatorKey {

  static final String VARIABLE = "LOVAGERACK_OPERATOR_KEY";

  private final String key;

  private OperatorKey(String key) {
    this.key = key;
  }

  /**
   * Returns the key given by the options or, without one, by the environment.
   *
   * @throws LovagerackException of kind {@code UNAUTHORIZED} if there is no key, or if it cannot be
   *     read or sent in a header
   */
  static OperatorKey find(Namespace options, Map<String, String> environment)
      throws LovagerackException {
    String option = options.getString(Options.OPERATOR_KEY);
    String file = options.getString(Options.OPERATOR_KEY_FILE);
    if (option != null) {
      return validate(option, "--operator-key");
    }
    if (file != null) {
      return validate(read(file).strip(), file);
    }
    return validate(
        Optional.ofNullable(environment.get(VARIABLE))
            .orElseThrow(
                () ->
                    invalidKey(
                        "no operator key: give --operator-key-file, --operator-key or the"
                            + " environment variable "
                            + VARIABLE)),
        VARIABLE);
  }

  String authorizationHeader() {
    return "Bearer " + key;
  }

  private static String read(String file) throws LovagerackException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw invalidKey("cannot read the operator key from " + file + ": " + e);
    }
  }

  private static OperatorKey validate(String key, String source) throws LovagerackException {
    // Other characters are invalid in a header, and the HTTP client's error would print the key.
    if (key.isEmpty() || !key.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw invalidKey("the operator key of " + source + " is empty or has invisible characters");
    }
    return new OperatorKey(key);
  }

  private static LovagerackException invalidKey(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.UNAUTHORIZED, detail));
  }
}
