package review;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Clients: hand jobs in, ask for their state, cancel them, and keep what they were answered. */
final class Jobs implements Executor.Needs {

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
  }

  static final String HOST = "host.example";
  static final String PREFIX = "/queue/";

  /** A step of a job. */
  record Step(
      int count, long cpu, long estimatedMs, List<Integer> after, String label, int maxPerServer) {
    Step(int count, long cpu, long estimatedMs) {
      this(count, cpu, estimatedMs, List.of(), "", 0);
    }
  }

  /** A job and its answers; times in milliseconds of the record. */
  static final class Job {
    final String id;
    final String specification;
    final boolean bestEffort;
    final List<Step> steps;
    volatile double firstSentAt = Double.MAX_VALUE;
    volatile double acceptedAt = Double.MAX_VALUE;

    /** Whether some attempt was not rejected, so the job may run. */
    volatile boolean mayRun;

    volatile boolean cancelSent;
    volatile double cancelledAt = Double.MAX_VALUE;
    volatile double completedAt = Double.MAX_VALUE;
    volatile double failedAt = Double.MAX_VALUE;
    volatile double shownCancelledAt = Double.MAX_VALUE;
    volatile double goneAt = Double.MAX_VALUE;
    volatile String lastState = "";

    Job(String id, String specification, boolean bestEffort, List<Step> steps) {
      this.id = id;
      this.specification = specification;
      this.bestEffort = bestEffort;
      this.steps = steps;
    }

    boolean accepted() {
      return acceptedAt < Double.MAX_VALUE;
    }

    boolean shownEnded() {
      return Math.min(completedAt, Math.min(failedAt, shownCancelledAt)) < Double.MAX_VALUE;
    }

    Map<String, Object> body() {
      List<Object> encoded = new ArrayList<>();
      for (Step step : steps) {
        Map<String, Object> node =
            Json.map(
                "count", step.count(),
                "cpu", step.cpu(),
                "memory_request_mb", 64,
                "estimated_ms", step.estimatedMs());
        if (!step.after().isEmpty()) {
          node.put("after", step.after());
        }
        if (!step.label().isEmpty()) {
          node.put("required_label", step.label());
        }
        if (step.maxPerServer() > 0) {
          node.put("max_per_server", step.maxPerServer());
        }
        encoded.add(node);
      }
      Map<String, Object> body = Json.map("specification", specification, "steps", encoded);
      if (bestEffort) {
        body.put("best_effort", true);
      }
      return body;
    }
  }

  /** An answer; status 0 means none. */
  record Answer(int status, String body) {}

  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Record record;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(800))
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();

  Jobs(Record record) {
    this.record = record;
  }

  Job create(String specification, boolean bestEffort, List<Step> steps) {
    String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
    Job job = new Job(id, specification, bestEffort, steps);
    jobs.put(id, job);
    return job;
  }

  @Override
  public long cpu(String task) {
    String[] parts = task.split("\\.");
    Job job = jobs.get(parts[0]);
    return job == null ? 1000 : job.steps.get(Integer.parseInt(parts[2])).cpu();
  }

  Answer call(String method, Node node, String id, String body, long timeoutMs) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node.address() + PREFIX + id))
            .header("Host", HOST)
            .header("Content-Type", "application/json")
            .header("Deadline-Milliseconds", Long.toString(timeoutMs))
            .timeout(Duration.ofMillis(timeoutMs + 300))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    } catch (java.io.IOException e) {
      return new Answer(0, e.toString());
    }
  }

  /** Sends the job once; returns the status. */
  int submitOnce(Job job, Node node, long timeoutMs) {
    job.firstSentAt = Math.min(job.firstSentAt, record.now());
    record.line("SENT", "POST", job.id, "to", node.name);
    Answer answer = call("POST", node, job.id, Json.write(job.body()), timeoutMs);
    record.line("ANSWERED", "POST", job.id, "by", node.name, answer.status(), answer.body());
    if (answer.status() / 100 == 2) {
      job.mayRun = true;
      job.acceptedAt = Math.min(job.acceptedAt, record.now());
    } else if (answer.status() == 0 || answer.status() == 502 || answer.status() == 504) {
      job.mayRun = true;
    }
    return answer.status();
  }

  /** Hands the job in, and again at any node after no response, 502 or 504. */
  boolean submit(Job job, List<Node> nodes, long timeoutMs, long giveUpMs)
      throws InterruptedException {
    double end = record.now() + giveUpMs;
    while (record.now() < end) {
      Node node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
      int status = submitOnce(job, node, timeoutMs);
      if (status / 100 == 2) {
        return true;
      }
      if (status != 0 && status != 502 && status != 504) {
        return false;
      }
      Thread.sleep(300);
    }
    return false;
  }

  /** Asks once for the state of a job; returns the state, "410" or "". */
  String state(Job job, Node node, long timeoutMs) {
    Answer answer = call("GET", node, job.id, "", timeoutMs);
    double now = record.now();
    String state = "";
    if (answer.status() == 200) {
      state = Json.string(Json.object(answer.body()), "state");
      switch (state) {
        case "completed" -> job.completedAt = Math.min(job.completedAt, now);
        case "failed" -> job.failedAt = Math.min(job.failedAt, now);
        case "cancelled" -> job.shownCancelledAt = Math.min(job.shownCancelledAt, now);
        default -> {}
      }
    } else if (answer.status() == 410) {
      state = "410";
      if (job.accepted() && now - job.acceptedAt > 3000) {
        job.goneAt = Math.min(job.goneAt, now);
      }
    }
    if (!state.equals(job.lastState)) {
      job.lastState = state;
      record.line("ANSWERED", "GET", job.id, "by", node.name, answer.status(), state);
    }
    return state;
  }

  /** Cancels a job; tries again at any node until 2xx or 410. */
  boolean cancel(Job job, List<Node> nodes, long giveUpMs) throws InterruptedException {
    job.cancelSent = true;
    double end = record.now() + giveUpMs;
    while (record.now() < end) {
      Node node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
      record.line("SENT", "DELETE", job.id, "to", node.name);
      Answer answer = call("DELETE", node, job.id, "", 2000);
      record.line("ANSWERED", "DELETE", job.id, "by", node.name, answer.status());
      if (answer.status() / 100 == 2 || answer.status() == 410) {
        job.cancelledAt = record.now();
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }
}
