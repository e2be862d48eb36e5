package org.lovagerack.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagerack.standins.cluster.BlockingHttp;
import org.lovagerack.standins.cluster.Cluster;
import org.lovagerack.standins.cluster.JobKind;
import org.lovagerack.standins.cluster.ProcessGroup;
import org.lovagerack.standins.cluster.SubmittedJob;
import org.lovagerack.standins.cluster.Workload;

/** Guards against invalid input that starts tasks, loses jobs or disrupts the process. */
final class BadInputTest {

  @TempDir static Path folder;

  private static final Vertx VERTX = Vertx.vertx();
  private static final BlockingHttp HTTP = new BlockingHttp(VERTX);
  private static ProcessGroup processes;
  private static Cluster cluster;

  @BeforeAll
  static void start() throws IOException, InterruptedException {
    processes = new ProcessGroup(folder);
    cluster = new Cluster(processes, HTTP, folder);
    cluster.start();
    cluster.awaitInForce(cluster.publish(cluster.firstNote()));
  }

  @AfterAll
  static void stop() {
    processes.close();
    VERTX.close();
  }

  @Test
  void malformedJobsAreRejectedWithTheirErrorKind() throws IOException, InterruptedException {
    JsonObject task = new JsonObject().put("body", "{}");
    JsonObject job =
        new JsonObject()
            .put("service", Cluster.SERVICE)
            .put("kind", "section-swap")
            .put("deadlineMillis", 1_000)
            .put("tasks", new JsonArray().add(task));
    JsonArray tooMany = new JsonArray();
    for (int i = 0; i <= 150; i++) {
      tooMany.add(task);
    }

    assertRejected("{\"service\":", "malformed-request");
    assertRejected("[]", "malformed-request");
    assertRejected(job.copy().put("colour", "red").encode(), "malformed-request");
    assertRejected(job.copy().put("deadlineMillis", "soon").encode(), "malformed-request");
    assertRejected(job.copy().put("tasks", tooMany).encode(), "too-many-tasks");
    assertRejected(job.copy().put("service", "unknown").encode(), "unknown-service");
    assertRejected(job.copy().put("deadlineMillis", 0).encode(), "deadline-passed");
    assertRejected("x".repeat(5_000_000), "body-too-large");
    assertThat(cluster.starts().keySet()).noneMatch(key -> key.contains("unknown"));
  }

  @Test
  void forgedSubmissionIdIsRejected() throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        HTTP.call(
            HttpMethod.POST,
            cluster.entryVms().getFirst().address(),
            "/v1/jobs",
            Map.of("Idempotency-Key", "nordvik-1.127.0.0.1:1.2.3"),
            "{}");

    assertThat(reply.json().getString("kind")).isEqualTo("invalid-submission-id");
  }

  @Test
  void releaseNoteThatWithdrawsAnUnknownUpstreamIsRejected()
      throws IOException, InterruptedException {
    JsonObject note =
        new JsonObject()
            .put("noteId", "contradiction")
            .put("baseRevision", 1)
            .put(
                "withdrawn", new JsonObject().put("upstreams", new JsonArray().add("127.0.0.1:1")));

    BlockingHttp.Reply reply =
        cluster.operatorCall(
            HttpMethod.POST, cluster.entryVms().getFirst(), "notes", note.encode());

    assertThat(reply.json().getString("kind")).isEqualTo("note-invalid");
    assertThat(reply.json().getString("detail")).contains("127.0.0.1:1");
  }

  @Test
  void operatorCallWithoutKeyIsRejected() throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        HTTP.call(
            HttpMethod.POST,
            cluster.entryVms().getFirst().address(),
            "/v1/operator/drain",
            Map.of(),
            "");

    assertThat(reply.status()).isEqualTo(401);
  }

  @Test
  void malformedPeerTrafficDoesNotAffectJobs() throws IOException, InterruptedException {
    Cluster.EntryVm entryVm = cluster.entryVms().getFirst();
    JsonObject settings =
        new JsonObject(Files.readString(folder.resolve(entryVm.name() + ".json")));
    String address = settings.getJsonObject("peers").getString("address");
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    for (String garbage : new String[] {"GET / HTTP/1.1\r\n\r\n", "\u0000\u00ff\u007f", ""}) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.getOutputStream().write(garbage.getBytes(StandardCharsets.UTF_8));
      }
    }

    Workload workload = new Workload(cluster, HTTP);
    SubmittedJob job = workload.newJob(JobKind.SECTION_SWAP, entryVm);
    workload.submit(job, cluster.entryVms().get(1));
    assertThat(job.hasCorrectAnswers()).isTrue();
  }

  private static void assertRejected(String body, String kind)
      throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        HTTP.call(
            HttpMethod.POST,
            cluster.entryVms().getFirst().address(),
            "/v1/jobs",
            Map.of("Prefer", "wait"),
            body);

    assertThat(reply.json().getString("kind")).isEqualTo(kind);
    assertThat(reply.json().getString("outcome")).isEqualTo("not-run");
  }
}
