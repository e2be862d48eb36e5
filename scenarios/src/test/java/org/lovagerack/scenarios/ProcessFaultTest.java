package org.lovagerack.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagerack.standins.cluster.BlockingHttp;
import org.lovagerack.standins.cluster.Cluster;
import org.lovagerack.standins.cluster.JobKind;
import org.lovagerack.standins.cluster.ProcessGroup;
import org.lovagerack.standins.cluster.SubmittedJob;
import org.lovagerack.standins.cluster.Workload;

/**
 * Checks the guarantees under faults of real processes: killed and suspended entry VMs, graceful
 * shutdowns, platform outages and unresponsive connections.
 */
final class ProcessFaultTest {

  /** 128 plus the signal number, with which the JVM exits after its shutdown hooks. */
  private static final int SIGTERM_EXIT_CODE = 143;

  /** Default of {@code maxAttempts} in a release note. */
  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  @TempDir Path folder;

  private final Vertx vertx = Vertx.vertx();
  private final BlockingHttp http = new BlockingHttp(vertx);
  private ProcessGroup processes;
  private Cluster cluster;
  private Workload workload;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    processes = new ProcessGroup(folder);
    cluster = new Cluster(processes, http, folder);
    cluster.start();
    cluster.awaitInForce(cluster.publish(cluster.firstNote()));
    workload = new Workload(cluster, http);
  }

  @AfterEach
  void stop() {
    processes.close();
    vertx.close();
  }

  /** Guards against a replacement without state that reruns submissions of its predecessor. */
  @Test
  void killedOwnerAndItsReplacementRestartNoTask()
      throws IOException, InterruptedException, ExecutionException {
    Cluster.EntryVm owner = cluster.entryVms().get(0);
    Cluster.EntryVm peer = cluster.entryVms().get(1);
    SubmittedJob job = workload.newJob(JobKind.RISER_LAYOUT, owner);
    try (ExecutorService caller = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<?> lost = caller.submit(() -> submitIgnoringConnectionLoss(job.resubmission(), owner));
      awaitTaskStart(job, lost);
      owner.process().destroyForcibly();
      lost.get();
    }
    Map<String, Integer> started = cluster.starts();

    workload.submit(job, peer);
    assertThat(job.problemKind()).isEqualTo("owner-lost");
    assertThat(job.isReportedAsNotRun()).isFalse();

    Cluster.EntryVm replacement = cluster.replace(owner);
    cluster.awaitInForce(1);
    SubmittedJob again = job.resubmission();
    workload.submit(again, replacement);
    assertThat(again.problemKind()).isEqualTo("owner-lost");
    assertThat(cluster.starts()).isEqualTo(started);
    assertThat(started.values()).allMatch(count -> count == 1);
  }

  /** Guards against tasks that another entry VM starts while their owner is suspended. */
  @Test
  void onlyTheSuspendedOwnerStartsItsTasks() throws Exception {
    Cluster.EntryVm owner = cluster.entryVms().get(0);
    Cluster.EntryVm peer = cluster.entryVms().get(1);
    SubmittedJob job = workload.newJob(JobKind.RISER_LAYOUT, owner);
    try (ExecutorService caller = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<?> waiting = caller.submit(() -> submitIgnoringConnectionLoss(job, owner));
      awaitTaskStart(job, waiting);
      signal("STOP", owner);
      SubmittedJob elsewhere = job.resubmission();
      submitForStatus(elsewhere, peer);
      assertThat(elsewhere.problemKind()).isEqualTo("owner-unreachable");
      assertThat(elsewhere.isReportedAsNotRun()).isFalse();
      signal("CONT", owner);
      waiting.get();
    }

    SubmittedJob later = job.resubmission();
    workload.submit(later, peer);
    assertThat(later.state()).isIn("completed", "failed");
    assertThat(cluster.starts().values()).allMatch(count -> count == 1);
  }

  /** Guards against a graceful shutdown that interrupts jobs, loses answers or does not exit. */
  @Test
  void operatorDrainCompletesAcceptedJobsAndEndsTheProcess() throws Exception {
    Cluster.EntryVm drainedVm = cluster.entryVms().get(0);
    Cluster.EntryVm peer = cluster.entryVms().get(1);
    SubmittedJob waiting = workload.newJob(JobKind.RISER_LAYOUT, drainedVm);
    SubmittedJob polled = workload.newJob(JobKind.PARENT_ALERT, drainedVm);
    SubmittedJob forwarded = workload.newJob(JobKind.RISER_LAYOUT, peer);
    try (ExecutorService caller = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<?> answer = caller.submit(() -> submitIgnoringConnectionLoss(waiting, drainedVm));
      Future<?> forwardedAnswer =
          caller.submit(() -> submitIgnoringConnectionLoss(forwarded, drainedVm));
      submitForStatus(polled, drainedVm);
      awaitTaskStart(waiting, answer);
      awaitTaskStart(forwarded, forwardedAnswer);
      assertThat(cluster.operatorCall(HttpMethod.POST, drainedVm, "drain", "").status())
          .isEqualTo(202);
      answer.get();
      forwardedAnswer.get();
    }

    assertThat(forwarded.hasCorrectAnswers()).isTrue();
    assertThat(waiting.hasCorrectAnswers()).isTrue();
    assertThat(drainedVm.process().waitFor()).isZero();
    SubmittedJob later = polled.resubmission();
    workload.submit(later, peer);
    assertThat(later.hasCorrectAnswers()).isTrue();
    assertThat(cluster.starts().values()).allMatch(count -> count == 1);
  }

  /** Guards against a rolling replacement of all entry VMs that interrupts accepted jobs. */
  @Test
  void rollingReplacementInterruptsNoJob() throws IOException, InterruptedException {
    List<SubmittedJob> submitted = new ArrayList<>();
    for (Cluster.EntryVm entryVm : cluster.entryVms()) {
      List<SubmittedJob> jobs =
          workload.run(
              Map.of(JobKind.SECTION_SWAP, 6, JobKind.RISER_LAYOUT, 2, JobKind.PARENT_ALERT, 3),
              () -> entryVm.process().destroy());
      submitted.addAll(jobs);
      assertThat(jobs)
          .allMatch(job -> job.hasCorrectAnswers() || job.isReportedAsNotRun(), entryVm.name());
      assertThat(entryVm.process().waitFor()).isEqualTo(SIGTERM_EXIT_CODE);
      cluster.replace(entryVm);
      cluster.awaitInForce(1);
    }
    assertStartsWithinLimit(submitted);
  }

  /** Checks that only repeatable tasks start more than once, by hedging or retries. */
  private void assertStartsWithinLimit(List<SubmittedJob> jobs)
      throws IOException, InterruptedException {
    Map<String, Integer> starts = cluster.starts();
    for (SubmittedJob job : jobs) {
      int limit = job.kind().repeatable() ? DEFAULT_MAX_ATTEMPTS : 1;
      for (int task = 0; task < job.kind().taskCount(); task++) {
        assertThat(starts.getOrDefault(job.id() + "/" + task, 0))
            .as("starts of task %d of a %s", task, job.kind())
            .isLessThanOrEqualTo(limit);
      }
    }
  }

  /** Guards against a platform outage that stops tasks or prevents the start of an entry VM. */
  @Test
  void platformOutagePreventsOnlyPublishing() throws IOException, InterruptedException {
    cluster.setPlatformFaults(new JsonObject().put("down", true));

    BlockingHttp.Reply rejected =
        cluster.operatorCall(
            HttpMethod.POST,
            cluster.entryVms().getFirst(),
            "notes",
            new JsonObject().put("noteId", "in-outage").put("baseRevision", 1).encode());
    assertThat(rejected.json().getString("kind")).isEqualTo("platform-unavailable");
    Cluster.EntryVm replaced = cluster.entryVms().get(0);
    replaced.process().destroyForcibly().waitFor();
    Cluster.EntryVm replacement = cluster.replace(replaced);
    cluster.awaitInForce(1);

    SubmittedJob job = workload.newJob(JobKind.PARENT_ALERT, replacement);
    workload.submit(job, cluster.entryVms().get(1));
    assertThat(job.hasCorrectAnswers()).isTrue();
  }

  /** Guards against repeatable tasks that are lost on connections that stopped responding. */
  @Test
  void repeatableTasksSurviveUnresponsiveConnections() throws IOException, InterruptedException {
    Cluster.EntryVm owner = cluster.entryVms().get(0);
    SubmittedJob first = workload.newJob(JobKind.SECTION_SWAP, owner);
    workload.submit(first, owner);
    assertThat(first.hasCorrectAnswers()).isTrue();

    for (Cluster.Upstream upstream : cluster.upstreams()) {
      http.call(HttpMethod.POST, upstream.address(), "/control/silence", Map.of(), "");
    }

    SubmittedJob second = workload.newJob(JobKind.SECTION_SWAP, owner);
    workload.submit(second, owner);
    assertThat(second.hasCorrectAnswers()).isTrue();
  }

  /** Guards against new tasks at an upstream that the platform lists as leaving. */
  @Test
  void upstreamThatThePlatformListsAsLeavingGetsNoNewTasks()
      throws IOException, InterruptedException {
    Cluster.Upstream leaving = cluster.upstreams().get(3);
    cluster.setPlatformVms(
        new JsonArray()
            .add(
                new JsonObject()
                    .put("address", leaving.address())
                    .put("failureDomain", leaving.failureDomain())
                    .put("role", "UPSTREAM")
                    .put("state", "LEAVING")));
    Thread.sleep(4_000);
    Map<String, Integer> before = cluster.startsAt(leaving);

    SubmittedJob job = workload.newJob(JobKind.RISER_LAYOUT, cluster.entryVms().get(0));
    workload.submit(job, cluster.entryVms().get(0));

    assertThat(job.hasCorrectAnswers()).isTrue();
    assertThat(cluster.startsAt(leaving)).isEqualTo(before);
  }

  private Void submitIgnoringConnectionLoss(SubmittedJob job, Cluster.EntryVm entryVm)
      throws InterruptedException {
    try {
      workload.submit(job, entryVm);
    } catch (IOException e) {
      // The caller lost its connection; the test continues without a reply.
      return null;
    }
    return null;
  }

  /** Submits without waiting for the end of the job. */
  private void submitForStatus(SubmittedJob job, Cluster.EntryVm entryVm)
      throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        http.call(
            HttpMethod.POST,
            entryVm.address(),
            "/v1/jobs",
            Map.of("Idempotency-Key", job.id()),
            job.body());
    job.recordReply(reply, 0);
  }

  /** Waits until a task of the job was started; fails if the job ends before. */
  private void awaitTaskStart(SubmittedJob job, Future<?> answer)
      throws IOException, InterruptedException {
    while (true) {
      // Read before the starts, which take a while to collect: the job may start and end meanwhile.
      boolean ended = answer.isDone();
      if (cluster.starts().keySet().stream().anyMatch(task -> task.startsWith(job.id()))) {
        return;
      }
      assertThat(ended)
          .as("job ended before a task was started: %s, %s", job.state(), job.problemKind())
          .isFalse();
      Thread.sleep(10);
    }
  }

  private static void signal(String name, Cluster.EntryVm entryVm)
      throws IOException, InterruptedException {
    String pid = Long.toString(entryVm.process().pid());
    assertThat(new ProcessBuilder("kill", "-" + name, pid).start().waitFor()).isZero();
  }
}
