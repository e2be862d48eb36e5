package org.lovagerack.standins.demonstration;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.lovagerack.standins.cluster.BlockingHttp;
import org.lovagerack.standins.cluster.Cluster;
import org.lovagerack.standins.cluster.JobKind;
import org.lovagerack.standins.cluster.ProcessGroup;
import org.lovagerack.standins.cluster.SubmittedJob;
import org.lovagerack.standins.cluster.Workload;

/**
 * Runs the complete system as separate processes. Kills one entry VM and gracefully shuts down
 * another one while jobs run, withdraws an upstream, and checks what callers and upstreams
 * observed.
 */
public final class Demonstration {

  /** Time after which a withdrawn upstream must receive no new tasks. */
  private static final long WITHDRAWAL_TIMEOUT_MILLIS = 3_000;

  private final Cluster cluster;
  private final Workload workload;
  private final Report report = new Report();

  private Demonstration(Cluster cluster, BlockingHttp http) {
    this.cluster = cluster;
    this.workload = new Workload(cluster, http);
  }

  /** Runs the demonstration; exits with 0 if all checks passed, else with 1. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("lovagerack-demonstration");
    Vertx vertx = Vertx.vertx();
    boolean passed = false;
    try (ProcessGroup processes = new ProcessGroup(folder)) {
      BlockingHttp http = new BlockingHttp(vertx);
      Cluster cluster = new Cluster(processes, http, folder);
      System.out.println("logs are in " + folder);
      cluster.start();
      passed = new Demonstration(cluster, http).run();
    } catch (IOException e) {
      System.err.println("the demonstration was aborted: " + e.getMessage());
    }
    System.out.println(passed ? "all checks passed" : "at least one check failed");
    System.exit(passed ? 0 : 1);
  }

  private boolean run() throws IOException, InterruptedException {
    long revision = cluster.publish(cluster.firstNote());
    System.out.println(
        "revision " + revision + " in force after " + cluster.awaitInForce(revision) + " ms");

    System.out.println("jobs without faults");
    List<SubmittedJob> withoutFaults = workload.run(jobs(4, 2, 2), () -> {});
    report.addPhase("without faults", withoutFaults);
    checkResubmission(withoutFaults);

    System.out.println("jobs while one entry VM is killed");
    Cluster.EntryVm killedVm = cluster.entryVms().get(1);
    List<SubmittedJob> duringKill =
        workload.run(jobs(16, 4, 8), () -> killedVm.process().destroyForcibly());
    report.addPhase("entry VM killed", duringKill);

    System.out.println("jobs during the graceful shutdown of another entry VM");
    Cluster.EntryVm stoppedVm = cluster.entryVms().get(3);
    List<SubmittedJob> duringStop =
        workload.run(jobs(16, 4, 8), () -> stoppedVm.process().destroy());
    report.addPhase("graceful shutdown", duringStop);

    checkWithdrawal(revision);
    check(withoutFaults, duringStop);
    return report.print(cluster);
  }

  private static Map<JobKind, Integer> jobs(int sectionSwaps, int riserLayouts, int parentAlerts) {
    return Map.of(
        JobKind.SECTION_SWAP, sectionSwaps,
        JobKind.RISER_LAYOUT, riserLayouts,
        JobKind.PARENT_ALERT, parentAlerts);
  }

  private void check(List<SubmittedJob> withoutFaults, List<SubmittedJob> duringStop)
      throws IOException, InterruptedException {
    report.check(
        "without faults every job completes", withoutFaults.stream().allMatch(this::completed));
    report.check(
        "a graceful shutdown interrupts no accepted job",
        duringStop.stream().allMatch(job -> completed(job) || job.isReportedAsNotRun()));
    Map<String, Integer> starts = cluster.starts();
    report.checkJobs(starts);
  }

  private boolean completed(SubmittedJob job) {
    return job.state().equals("completed");
  }

  private void checkResubmission(List<SubmittedJob> jobs) throws IOException, InterruptedException {
    Map<String, Integer> before = cluster.starts();
    boolean sameAnswers = true;
    for (SubmittedJob job : jobs) {
      SubmittedJob again = job.resubmission();
      workload.submit(again);
      sameAnswers &= again.hasCorrectAnswers();
    }
    report.check("a resubmission returns the same complete answers", sameAnswers);
    report.check("a resubmission starts no task", before.equals(cluster.starts()));
  }

  private void checkWithdrawal(long revision) throws IOException, InterruptedException {
    Cluster.Upstream withdrawn = cluster.upstreams().getFirst();
    long next =
        cluster.publish(
            new JsonObject()
                .put("noteId", "withdraw-one")
                .put("baseRevision", revision)
                .put(
                    "withdrawn",
                    new JsonObject().put("upstreams", new JsonArray().add(withdrawn.address()))));
    System.out.println(
        "revision " + next + " in force after " + cluster.awaitInForce(next) + " ms");
    Thread.sleep(WITHDRAWAL_TIMEOUT_MILLIS);
    Map<String, Integer> before = cluster.startsAt(withdrawn);
    report.addPhase("upstream withdrawn", workload.run(jobs(8, 1, 4), () -> {}));
    report.check(
        "a withdrawn upstream receives no new tasks", before.equals(cluster.startsAt(withdrawn)));
  }
}
