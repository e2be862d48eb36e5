package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;

/** Guards against notes that are parsed wrongly and against incomplete error messages. */
final class NoteCodecTest {

  private static String problems(String json) {
    LovagerackException thrown =
        catchThrowableOfType(LovagerackException.class, () -> NoteCodec.decode(json));
    assertThat(thrown).as(json).isNotNull();
    assertThat(thrown.failure().kind()).isEqualTo(ErrorKind.NOTE_INVALID);
    return thrown.failure().detail();
  }

  @Test
  void readsTheDocumentedExample() throws Exception {
    String page = Files.readString(Path.of("../docs/release-notes.md"));
    int start = page.indexOf("```json") + "```json".length();

    ReleaseNote note = NoteCodec.decode(page.substring(start, page.indexOf("```", start)));

    assertThat(note.noteId()).isEqualTo("2026-12-04-riser-layout-2");
    assertThat(note.baseRevision()).isEqualTo(41);
    assertThat(note.added().services())
        .containsExactly(
            new ServiceDefinition(
                "riser-layout",
                "/layout",
                0.25,
                0.1,
                3,
                20_000,
                Duration.ofSeconds(5),
                Set.of(429, 503),
                0.999));
    assertThat(note.added().teams()).containsExactly(new TeamQuota("stage", 5000, 800));
    assertThat(note.changed().upstreams()).extracting(UpstreamDefinition::slots).containsExactly(4);
    assertThat(note.withdrawn())
        .isEqualTo(
            new Withdrawals(
                List.of("soloist-check"), List.of("10.20.1.9:8080"), List.of("archive")));
    assertThat(NoteCodec.decode(NoteCodec.encode(note))).isEqualTo(note);
  }

  @Test
  void fillsInOnlyTheDocumentedDefaults() throws LovagerackException {
    ReleaseNote note =
        NoteCodec.decode(
            """
            {"noteId": "n", "baseRevision": 0, "added": {"services": [{"name": "s", "path": "/",
             "messageWeight": 0, "maxQueuedTasks": 1, "maxRunTimeMillis": 1, "objective": 0.5}]}}
            """);

    ServiceDefinition service = note.added().services().getFirst();
    assertThat(service.retryBudget()).isEqualTo(0.1);
    assertThat(service.maxAttempts()).isEqualTo(3);
    assertThat(service.notStartedStatuses()).isEmpty();
    assertThat(note.changed()).isEqualTo(ChangeSet.empty());
    assertThat(note.withdrawn()).isEqualTo(Withdrawals.none());
  }

  @Test
  void listsEveryProblemWithItsPathAndValue() {
    String detail =
        problems(
            """
            {"noteId": 7, "baseRevision": -1, "surprise": true, "changed": [],
             "added": {
               "services": [{"name": "a b", "path": "run", "messageWeight": 1.5, "retryBudget": "x",
                 "maxAttempts": 0, "maxQueuedTasks": 2.5, "maxRunTimeMillis": 99999999999,
                 "notStartedStatuses": [503, 200, 503], "objective": 1}],
               "upstreams": [{"address": "host:80", "service": "s", "slots": 0, "connections": 1}, 4],
               "teams": {}},
             "withdrawn": {"upstreams": ["10.0.0.1"], "services": [""]}}
            """);

    assertThat(List.of(detail.split("; ")))
        .containsExactlyInAnyOrder(
            "$.noteId: 7 is not a name",
            "$.baseRevision: -1 is not an integer from 0 to 999999999998",
            "$.surprise: true is an unknown field",
            "$.changed: [] is not an object",
            "$.added.services[0].name: \"a b\" has white space or control characters",
            "$.added.services[0].path: \"run\" is not an HTTP path of at most 1024 characters",
            "$.added.services[0].messageWeight: 1.5 is not a number from 0 to 1",
            "$.added.services[0].retryBudget: \"x\" is not a number from 0 to 1",
            "$.added.services[0].maxAttempts: 0 is not an integer from 1 to 100",
            "$.added.services[0].maxQueuedTasks: 2.5 is not an integer from 1 to 10000000",
            "$.added.services[0].maxRunTimeMillis: 99999999999 is not an integer from 1 to 3600000",
            "$.added.services[0].notStartedStatuses[1]: 200 is not an integer from 400 to 599",
            "$.added.services[0].notStartedStatuses[2]: 503 is listed twice",
            "$.added.services[0].objective: 1 is not a number greater than 0 and less than 1",
            "$.added.upstreams[0].address: \"host:80\" is not " + UpstreamAddressFormat.DESCRIPTION,
            "$.added.upstreams[0].failureDomain: is missing",
            "$.added.upstreams[0].slots: 0 is not an integer from 1 to 10000",
            "$.added.upstreams[1]: 4 is not an object",
            "$.added.teams: {} is not an array",
            "$.withdrawn.upstreams[0]: \"10.0.0.1\" is not " + UpstreamAddressFormat.DESCRIPTION,
            "$.withdrawn.services[0]: \"\" is not a name");
  }

  @Test
  void limitsNamesTo128Characters() throws LovagerackException {
    String note = "{\"noteId\": \"%s\", \"baseRevision\": 0}";
    assertThat(NoteCodec.decode(note.formatted("n".repeat(128))).noteId()).hasSize(128);
    assertThat(problems(note.formatted("n".repeat(129)))).contains("$.noteId", "128 characters");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "{\"noteId\": \"a\", \"noteId\": \"b\", \"baseRevision\": 0}",
        "{\"noteId\": \"a\", \"baseRevision\": 0} x",
        "{\"noteId\": \"a\", \"baseRevision\": 1e0}"
      })
  void rejectsTextThatIsNotOneJsonObject(String json) {
    assertThat(problems(json)).startsWith("$");
  }

  /** A second form of an address would define a second upstream on the same VM. */
  @ParameterizedTest
  @CsvSource({
    "10.0.0.1:80,true",
    "255.255.255.255:65535,true",
    "[fd00:0:0:0:0:0:0:1]:8080,true",
    "10.0.0.1,false",
    "10.0.0.1:0,false",
    "10.0.0.1:65536,false",
    "10.0.0.1:080,false",
    "10.0.0.01:80,false",
    "10.0.0.256:80,false",
    "10.1:80,false",
    "localhost:80,false",
    "[fd00::1]:8080,false",
    "[FD00:0:0:0:0:0:0:1]:8080,false",
    "fd00:0:0:0:0:0:0:1:8080,false",
    "[0:0:0:0:0:ffff:a00:1]:80,false",
    "[10.0.0.1]:80,false",
    "'10.0.0.1:80 ',false"
  })
  void acceptsOnlyCanonicalAddresses(String address, boolean accepted) {
    assertThat(UpstreamAddressFormat.matches(address)).isEqualTo(accepted);
  }

  @Test
  void deploymentsAndCatchUpsRoundTripThroughJson() throws LovagerackException {
    Deployment deployment =
        Deployment.empty()
            .apply(
                Samples.adding("a", 0, List.of(Samples.service("riser")), Samples.upstream(1, 8)))
            .apply(Samples.changing("b", 1, Samples.upstream(1, 4)));
    CatchUp catchUp =
        new CatchUp(
            Optional.of(deployment), List.of(Samples.changing("c", 2, Samples.upstream(1, 5))));

    assertThat(DeploymentCodec.decode(DeploymentCodec.encode(deployment))).isEqualTo(deployment);
    assertThat(CatchUpCodec.decode(CatchUpCodec.encode(catchUp))).isEqualTo(catchUp);
    assertThat(catchUp.revision()).isEqualTo(3);
  }
}
