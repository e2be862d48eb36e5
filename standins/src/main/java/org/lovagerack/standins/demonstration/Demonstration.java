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
 * Runs the whole system as separate processes, kills an entry VM and stops another one while jobs
 * run, withdraws an upstream, and checks what callers and upstreams saw.
 */
public final class Demonstration {

  /** A withdrawn upstream gets no new work after this time, milliseconds. */
  private static final long WITHDRAWAL_MILLIS = 3_000;

  private final Cluster cluster;
  private final Workload workload;
  private final Report report = new Report();

  private Demonstration(Cluster cluster, BlockingHttp http) {
    this.cluster = cluster;
    this.workload = new Workload(cluster, http);
  }

  /** Starts the demonstration; exits with 0 only if every check held. */
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
      System.err.println("the demonstration could not go on: " + e.getMessage());
    }
    System.out.println(passed ? "every check held" : "a check failed");
    System.exit(passed ? 0 : 1);
  }

  private boolean run() throws IOException, InterruptedException {
    long revision = cluster.publish(cluster.firstNote());
    System.out.println(
        "revision " + revision + " in force after " + cluster.awaitInForce(revision) + " ms");

    System.out.println("jobs without faults");
    List<SubmittedJob> calm = workload.run(jobs(4, 2, 2), () -> {});
    report.addPhase("without faults", calm);
    checkResubmission(calm);

    System.out.println("jobs while one entry VM is killed");
    Cluster.EntryVm victim = cluster.entryVms().get(1);
    List<SubmittedJob> killed =
        workload.run(jobs(16, 4, 8), () -> victim.process().destroyForcibly());
    report.addPhase("entry VM killed", killed);

    System.out.println("jobs while another entry VM is stopped as planned");
    Cluster.EntryVm leaver = cluster.entryVms().get(3);
    List<SubmittedJob> drained = workload.run(jobs(16, 4, 8), () -> leaver.process().destroy());
    report.addPhase("entry VM stopped as planned", drained);

    checkWithdrawal(revision);
    check(calm, drained);
    return report.print(cluster);
  }

  private static Map<JobKind, Integer> jobs(int sectionSwaps, int riserLayouts, int parentAlerts) {
    return Map.of(
        JobKind.SECTION_SWAP, sectionSwaps,
        JobKind.RISER_LAYOUT, riserLayouts,
        JobKind.PARENT_ALERT, parentAlerts);
  }

  private void check(List<SubmittedJob> calm, List<SubmittedJob> drained)
      throws IOException, InterruptedException {
    report.check("without faults every job completes", calm.stream().allMatch(this::completed));
    report.check(
        "a planned stop cuts no accepted job",
        drained.stream().allMatch(job -> completed(job) || job.saysNotRun()));
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
      sameAnswers &= again.hasWholeOwnAnswer();
    }
    report.check("a resubmission gets the same whole answer", sameAnswers);
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
    Thread.sleep(WITHDRAWAL_MILLIS);
    Map<String, Integer> before = cluster.startsAt(withdrawn);
    report.addPhase("upstream withdrawn", workload.run(jobs(8, 1, 4), () -> {}));
    report.check(
        "a withdrawn upstream gets no new work", before.equals(cluster.startsAt(withdrawn)));
  }
}
