package org.lovagerack.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import org.lovagerack.burn.BurnReport;
import org.lovagerack.burn.BurnSnapshotCodec;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The subcommand that reports the burn rate of the services' error budgets. */
final class BurnCommand {

  static final String HTML = "html";

  private BurnCommand() {}

  static Result run(EntryClient entry, Namespace options) throws LovagerackException {
    ObjectNode answer = entry.call(EntryCall.withoutBody(HttpMethod.GET, "/v1/operator/burn"));
    BurnReport report =
        new BurnReport(
            BurnSnapshotCodec.fromJson(answer.path("snapshot")),
            Json.strings(answer.path("unreachable")));
    String file = options.getString(HTML);
    if (file != null) {
      write(Path.of(file), report.html());
    }
    return Result.of(report.text(), parse(report.json()));
  }

  private static void write(Path file, String page) throws LovagerackException {
    try {
      Files.writeString(file, page);
    } catch (IOException e) {
      throw new LovagerackException(
          Failure.notRun(ErrorKind.MALFORMED_REQUEST, "cannot write " + file + ": " + e), e);
    }
  }

  private static ObjectNode parse(String json) {
    try {
      return (ObjectNode) Json.MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the burn report is not valid JSON", e);
    }
  }
}
