package org.lovagerack.notes;

import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Collects the problems of a release note, to report all of them in one error. */
final class Problems {

  private static final int MAX_VALUE_LENGTH = 160;

  private final List<String> problems = new ArrayList<>();

  /**
   * Adds a problem.
   *
   * @param path JSON path of the value
   * @param value the offending value, shortened if it is long
   * @param reason why it is not allowed
   */
  void add(String path, Object value, String reason) {
    String shown = String.valueOf(value);
    if (shown.length() > MAX_VALUE_LENGTH) {
      shown = shown.substring(0, MAX_VALUE_LENGTH) + "...";
    }
    problems.add(path + ": " + shown + " " + reason);
  }

  /** Adds a problem that has no value, such as a missing field. */
  void add(String path, String reason) {
    problems.add(path + ": " + reason);
  }

  void throwIfAny() throws LovagerackException {
    if (!problems.isEmpty()) {
      throw new LovagerackException(
          Failure.notRun(ErrorKind.NOTE_INVALID, String.join("; ", problems)));
    }
  }
}
