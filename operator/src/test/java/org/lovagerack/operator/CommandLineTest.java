package org.lovagerack.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagerack.burn.BurnOutcome;
import org.lovagerack.burn.BurnRecorder;
import org.lovagerack.burn.BurnSnapshotCodec;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Checks what scripts rely on: exit codes, JSON output, and which entry VM receives a call. */
final class CommandLineTest {

  private static final String KEY = "key-of-the-operator";
  private static final String IN_FORCE = "GET /v1/operator/in-force";
  private static final String BURN = "GET /v1/operator/burn";
  private static final String SUBMIT = "POST /v1/jobs";
  private static final String ISSUE = "POST /v1/submission-ids";
  private static final String RUNNING =
      "{\"id\":\"a1\",\"state\":\"running\",\"finishedTasks\":1,\"taskCount\":2}";
  private static final String COMPLETED =
      "{\"id\":\"a1\",\"state\":\"completed\",\"answers\":[\"x\\u001b\",\"y\"]}";
  private static final String CANCELLED =
      "{\"id\":\"a1\",\"state\":\"failed\",\"problem\":{\"kind\":\"cancelled\",\"outcome\":\"not-run\"}}";

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final DrivenTimer timer = new DrivenTimer();
  private final StubEntryVm vm = new StubEntryVm();
  private final StubEntryVm otherVm = new StubEntryVm();

  @AfterEach
  void close() {
    assertThat(out() + err()).doesNotContain(KEY);
    vm.close();
    otherVm.close();
  }

  private int runCommand(String... arguments) {
    return runWithEnvironment(Map.of(OperatorKey.VARIABLE, KEY), arguments);
  }

  private int runWithEnvironment(Map<String, String> environment, String... arguments) {
    WaitClock clock =
        new WaitClock() {
          @Override
          public long nanoTime() {
            return timer.nanoTime();
          }

          @Override
          public void pause(Duration duration) {
            timer.advance(duration);
          }
        };
    out.reset();
    err.reset();
    return new CommandLine(environment, clock, printStream(out), printStream(err)).run(arguments);
  }

  private int runAgainst(StubEntryVm firstVm, String... arguments) {
    List<String> allArguments = new ArrayList<>(List.of(arguments));
    allArguments.addAll(List.of("--entry", firstVm.address()));
    if (firstVm != otherVm) {
      allArguments.addAll(List.of("--entry", otherVm.address()));
    }
    return runCommand(allArguments.toArray(String[]::new));
  }

  private static PrintStream printStream(ByteArrayOutputStream target) {
    return new PrintStream(target, true, StandardCharsets.UTF_8);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private JsonNode json() throws Exception {
    return new ObjectMapper().readTree(out());
  }

  private String writeInputFile(String contents) throws Exception {
    return Files.writeString(directory.resolve("input.json"), contents).toString();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "publish",
        "in-force",
        "submit",
        "issue-ids",
        "job",
        "cancel",
        "drain",
        "burn",
        "check-settings",
        "check-note"
      })
  void everySubcommandHasHelp(String subcommand) {
    assertThat(runCommand(subcommand, "--help")).isZero();
  }

  @ParameterizedTest
  @CsvSource({
    "burn",
    "burn --entry nowhere",
    "burn --entry 127.0.0.1:0",
    "burn --entry ::1:80",
    "issue-ids 0 --entry a:1",
    "job ID --wait -1 --entry a:1",
    "drain --entry a:1 --entry b:1",
    "unknown",
    "submit no-such-file --entry a:1"
  })
  void invalidUsageExitsWith2(String line) {
    assertThat(runCommand(line.split(" "))).isEqualTo(2);
    assertThat(out()).isEmpty();
    assertThat(err()).isNotEmpty();
  }

  @ParameterizedTest
  @EnumSource(ErrorKind.class)
  void everyProblemKindSetsItsExitCodeAndIsPrinted(ErrorKind kind) throws Exception {
    vm.on(
        BURN,
        kind.httpStatus(),
        "{\"kind\":\"%s\",\"outcome\":\"not-run\",\"detail\":\"because 7\",\"retryAfterMillis\":1500}"
            .formatted(kind.wireName()));
    assertThat(runAgainst(vm, "burn")).isEqualTo(kind.exitCode());
    assertThat(err()).contains(kind.wireName(), "because 7", "not-run", "1500 ms");
    assertThat(runAgainst(vm, "burn", "--json")).isEqualTo(kind.exitCode());
    assertThat(json().at("/problem/kind").asText()).isEqualTo(kind.wireName());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "502|<html>",
        "200|not JSON",
        "500|{}",
        "500|{\"kind\":\"of-a-newer-version\"}",
        "400|{\"kind\":\"overloaded\",\"outcome\":\"ran\"}"
      })
  void unreadableAnswerIsAnInternalError(int status, String body) {
    vm.on(BURN, status, body);
    assertThat(runAgainst(vm, "burn")).isEqualTo(ErrorKind.INTERNAL.exitCode());
    assertThat(err()).contains("may-have-run");
  }

  @Test
  void operatorKeyIsReadFromOptionFileOrEnvironmentAndNotPrinted() throws Exception {
    vm.on(IN_FORCE, 200, "{\"revision\":1,\"entryVms\":[]}");
    String[] call = {"in-force", "--entry", vm.address()};
    String[] option = {"in-force", "--entry", vm.address(), "--operator-key", KEY};
    String[] keyFile = {
      "in-force", "--entry", vm.address(), "--operator-key-file", writeInputFile(KEY + "\n")
    };
    assertThat(runCommand(call)).isZero();
    assertThat(runWithEnvironment(Map.of(), option)).isZero();
    assertThat(runWithEnvironment(Map.of(), keyFile)).isZero();
    assertThat(vm.calls())
        .hasSize(3)
        .allSatisfy(
            sent -> assertThat(sent.headers()).containsEntry("Authorization", "Bearer " + KEY));
    assertThat(runWithEnvironment(Map.of(), call)).isEqualTo(10);
    assertThat(runWithEnvironment(Map.of(OperatorKey.VARIABLE, KEY + "\r\n"), call)).isEqualTo(10);
    assertThat(vm.calls()).hasSize(3);
  }

  @Test
  void nextEntryVmIsTriedWhenOneCannotBeReached() {
    otherVm.on(ISSUE, 200, "{\"ids\":[\"a1\",\"a2\"]}");
    vm.close();
    assertThat(runAgainst(vm, "issue-ids", "2")).isZero();
    assertThat(out().lines()).containsExactly("a1", "a2");
    assertThat(otherVm.calls().getFirst().headers()).doesNotContainKey("Authorization");
    otherVm.close();
    assertThat(runAgainst(vm, "issue-ids", "2")).isEqualTo(ErrorKind.ENTRY_UNREACHABLE.exitCode());
    assertThat(err()).contains(vm.address(), otherVm.address(), "not-run");
  }

  @Test
  void submissionIsRetriedAtTheNextEntryVmUnderTheSameIdentifier() throws Exception {
    vm.on(ISSUE, 200, "{\"ids\":[\"a1\"]}").loseAnswerTo(SUBMIT);
    otherVm.on(SUBMIT, 202, RUNNING);
    assertThat(runAgainst(vm, "submit", writeInputFile("{\"tasks\":[]}"))).isZero();
    List<StubEntryVm.Call> sent = List.of(vm.calls().getLast(), otherVm.calls().getFirst());
    assertThat(sent)
        .allSatisfy(call -> assertThat(call.headers()).containsEntry("Idempotency-Key", "a1"))
        .allSatisfy(call -> assertThat(call.body()).isEqualTo("{\"tasks\":[]}"));
    assertThat(err()).contains("a1");
  }

  @Test
  void failedSubmissionPrintsItsIdentifier() throws Exception {
    vm.loseAnswerTo(SUBMIT);
    otherVm.close();
    assertThat(runAgainst(vm, "submit", writeInputFile("{}"), "--id", "a9", "--json")).isEqualTo(6);
    assertThat(json().at("/id").asText()).isEqualTo("a9");
    assertThat(json().at("/problem/outcome").asText()).isEqualTo("may-have-run");
  }

  @Test
  void drainIsNotRetriedWhenItsAnswerIsLost() {
    otherVm.loseAnswerTo("POST /v1/operator/drain");
    assertThat(runAgainst(otherVm, "drain")).isEqualTo(6);
    assertThat(err()).contains("may-have-run");
    assertThat(otherVm.calls()).hasSize(1);
  }

  @Test
  void waitPollsUntilTheJobEndsOrTheWaitExpires() throws Exception {
    vm.on(ISSUE, 200, "{\"ids\":[\"a1\"]}").on(SUBMIT, 202, RUNNING);
    vm.on("GET /v1/jobs/a1", 200, RUNNING).on("GET /v1/jobs/a1", 200, COMPLETED);
    assertThat(runAgainst(vm, "submit", writeInputFile("{}"), "--wait", "5")).isZero();
    assertThat(out()).contains("completed", "answer 0  \"x\\u001B\"", "answer 1  \"y\"");
    assertThat(vm.calls().get(1).headers()).containsEntry("Prefer", "wait=5");
    otherVm.on("GET /v1/jobs/a1", 200, RUNNING);
    assertThat(runAgainst(otherVm, "job", "a1", "--wait", "3", "--json")).isEqualTo(5);
    assertThat(json().at("/state").asText()).isEqualTo("running");
    assertThat(runAgainst(otherVm, "job", "a1")).isZero();
    assertThat(out()).contains("running, 1 of 2 tasks finished");
  }

  @Test
  void cancelExitsWith0AndACancelledJobWithItsOwnCode() {
    vm.on("DELETE /v1/jobs/a1", 200, CANCELLED).on("GET /v1/jobs/a1", 200, CANCELLED);
    assertThat(runAgainst(vm, "cancel", "a1")).isZero();
    assertThat(runAgainst(vm, "job", "a1")).isEqualTo(ErrorKind.CANCELLED.exitCode());
  }

  @Test
  void publishWaitsForReachableEntryVmsAndListsUnreachableOnes() throws Exception {
    vm.on("POST /v1/operator/notes", 200, "{\"revision\":7,\"repeated\":false}");
    vm.on(IN_FORCE, 200, inForce(6)).on(IN_FORCE, 200, inForce(7));
    assertThat(runAgainst(vm, "publish", writeInputFile("{}"), "--wait", "9", "--json")).isZero();
    assertThat(json().at("/revision").asLong()).isEqualTo(7);
    assertThat(json().at("/inForce").asBoolean()).isTrue();
    assertThat(json().at("/unreachable/0").asText()).isEqualTo("10.0.0.3:1");
    assertThat(runAgainst(vm, "in-force")).isZero();
    assertThat(out()).contains("10.0.0.2:1", "unreachable").doesNotContain("\"services\"");
    assertThat(runAgainst(vm, "in-force", "--deployment")).isZero();
    assertThat(out()).contains("\"services\"");
  }

  @Test
  void publishTimeoutListsTheEntryVmsThatAreBehind() throws Exception {
    vm.on("POST /v1/operator/notes", 200, "{\"revision\":7,\"repeated\":true}");
    vm.on(IN_FORCE, 200, inForce(6));
    assertThat(runAgainst(vm, "publish", writeInputFile("{}"), "--wait", "9")).isEqualTo(5);
    assertThat(out()).contains("revision 7");
    assertThat(err()).contains("10.0.0.2:1", "accepted as revision 7");
  }

  private static String inForce(int secondVmRevision) {
    return """
        {"revision":7,"inForceEverywhere":false,"deployment":{"services":[]},"entryVms":[
        {"address":"10.0.0.1:1","failureDomain":"a","state":"serving","revision":7},
        {"address":"10.0.0.2:1","failureDomain":"a","state":"draining","revision":%d},
        {"address":"10.0.0.3:1","state":"unreachable","detail":"x"}]}"""
        .formatted(secondVmRevision);
  }

  @Test
  void burnReportIsPrintedAndWrittenAsHtml() throws Exception {
    BurnRecorder recorder = new BurnRecorder(timer);
    recorder.objective("swap", 0.5);
    recorder.record("swap", BurnOutcome.LATE, Duration.ofMillis(90));
    vm.on(
        BURN,
        200,
        "{\"snapshot\":%s,\"reached\":[],\"unreachable\":[\"10.0.0.3:1\"]}"
            .formatted(BurnSnapshotCodec.encode(recorder.snapshot())));
    Path page = directory.resolve("burn.html");
    assertThat(runAgainst(vm, "burn", "--html", page.toString())).isZero();
    assertThat(out()).contains("swap", "late 100.0%", "10.0.0.3:1");
    assertThat(page).content().contains("<svg", "10.0.0.3:1");
    assertThat(runAgainst(vm, "burn", "--json")).isZero();
    assertThat(json().at("/services/0/burnRate/5m").asDouble()).isEqualTo(2);
    vm.on(BURN, 200, "{}");
    assertThat(runAgainst(vm, "burn")).isZero();
    assertThat(runAgainst(vm, "burn")).isEqualTo(ErrorKind.MALFORMED_REQUEST.exitCode());
  }

  @Test
  void filesAreCheckedWithoutAnEntryVm() throws Exception {
    assertThat(
            runCommand(
                "check-note", writeInputFile("{\"noteId\":\"n1\",\"baseRevision\":3}"), "--json"))
        .isZero();
    assertThat(json().at("/noteId").asText()).isEqualTo("n1");
    assertThat(runCommand("check-note", writeInputFile("{\"baseRevision\":-1}"))).isEqualTo(2);
    assertThat(err()).contains("note-invalid", "noteId", "-1");
    assertThat(runCommand("check-settings", writeInputFile("{\"region\":7}"))).isEqualTo(2);
    assertThat(err()).contains("settings-invalid", "/region");
  }
}
