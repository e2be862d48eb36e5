package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.lovagerack.foundation.error.Failure;

/**
 * The result of a subcommand. It can have both output and a failure, such as a revision that was
 * accepted but is not yet in force everywhere.
 *
 * @param text output in plain text; every line ends with a line break
 * @param json output with {@code --json}
 * @param failure the failure, which determines the exit code; empty on success
 */
record Result(String text, ObjectNode json, Optional<Failure> failure) {

  static Result of(String text, ObjectNode json) {
    return new Result(text, json, Optional.empty());
  }

  static Result failed(Failure failure) {
    return new Result("", Json.object(), Optional.of(failure));
  }

  Result withFailure(Failure reason) {
    return new Result(text, json, Optional.of(reason));
  }

  int exitCode() {
    return failure.map(reason -> reason.kind().exitCode()).orElse(0);
  }
}
