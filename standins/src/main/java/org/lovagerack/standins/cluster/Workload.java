package org.lovagerack.standins.cluster;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Submits jobs as callers do, to entry VMs that are picked in turn as by a load balancer. */
public final class Workload {

  private static final int RETRY_DELAY_MILLIS = 100;
  private static final int FAULT_DELAY_MILLIS = 150;

  private final Cluster cluster;
  private final BlockingHttp http;
  private final AtomicInteger nextEntryVmIndex = new AtomicInteger();
  private final AtomicInteger jobNumbers = new AtomicInteger();

  public Workload(Cluster cluster, BlockingHttp http) {
    this.cluster = cluster;
    this.http = http;
  }

  /**
   * Submits jobs concurrently, injects a fault while they run, and waits until each has an outcome.
   *
   * @param counts number of jobs of each kind
   * @param fault runs shortly after the submissions
   */
  public List<SubmittedJob> run(Map<JobKind, Integer> counts, Runnable fault)
      throws IOException, InterruptedException {
    List<SubmittedJob> jobs = new ArrayList<>();
    for (JobKind kind : JobKind.values()) {
      for (String id : requestSubmissionIds(counts.get(kind))) {
        jobs.add(new SubmittedJob(kind, jobNumbers.incrementAndGet(), id));
      }
    }
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<?>> submissions = new ArrayList<>();
      for (SubmittedJob job : jobs) {
        submissions.add(
            callers.submit(
                () -> {
                  submitUntilAnswered(job);
                  return null;
                }));
      }
      Thread.sleep(FAULT_DELAY_MILLIS);
      fault.run();
      for (Future<?> submission : submissions) {
        submission.get();
      }
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    }
    return jobs;
  }

  /** Submits a job to the next entry VM and waits for the reply. */
  public void submit(SubmittedJob job) throws IOException, InterruptedException {
    submit(job, nextEntryVm());
  }

  /** Submits a job to an entry VM and waits for the reply. */
  public void submit(SubmittedJob job, Cluster.EntryVm entryVm)
      throws IOException, InterruptedException {
    long start = System.nanoTime();
    BlockingHttp.Reply reply =
        http.call(
            HttpMethod.POST,
            entryVm.address(),
            "/v1/jobs",
            Map.of("Idempotency-Key", job.id(), "Prefer", "wait"),
            job.body());
    job.recordReply(reply, (System.nanoTime() - start) / 1_000_000);
  }

  /** Resubmits a job with the same identifier to the next entry VM after a lost connection. */
  private void submitUntilAnswered(SubmittedJob job) throws InterruptedException {
    while (job.state().equals("unknown") || job.state().equals("running")) {
      try {
        submit(job);
      } catch (IOException e) {
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
  }

  private List<String> requestSubmissionIds(int count) throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(requestSubmissionId(nextEntryVm()));
    }
    return ids;
  }

  private String requestSubmissionId(Cluster.EntryVm owner)
      throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        http.call(
            HttpMethod.POST,
            owner.address(),
            "/v1/submission-ids",
            Map.of(),
            new JsonObject().put("count", 1).encode());
    JsonArray issued = reply.json().getJsonArray("ids");
    return issued.getString(0);
  }

  /** Returns a job that is not submitted yet and whose identifier is issued by an entry VM. */
  public SubmittedJob newJob(JobKind kind, Cluster.EntryVm owner)
      throws IOException, InterruptedException {
    return new SubmittedJob(kind, jobNumbers.incrementAndGet(), requestSubmissionId(owner));
  }

  /** Picks the next running entry VM; the platform's balancer reacts to an exit a little later. */
  private Cluster.EntryVm nextEntryVm() {
    List<Cluster.EntryVm> live =
        cluster.entryVms().stream().filter(entryVm -> entryVm.process().isAlive()).toList();
    return live.get(Math.floorMod(nextEntryVmIndex.getAndIncrement(), live.size()));
  }
}
