package org.lovagerack.standins.cluster;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The processes of the demonstration: platform, upstreams and entry VMs of two failure domains. */
public final class Cluster {

  /** Name of the only service. */
  public static final String SERVICE = "seating";

  public static final List<String> FAILURE_DOMAINS = List.of("nordvik-1", "nordvik-2");

  private static final int ENTRY_VMS_PER_DOMAIN = 2;
  private static final List<Double> UPSTREAM_SPEEDS = List.of(1.0, 2.0, 3.0, 4.0);

  public static final int SLOTS_PER_UPSTREAM = 8;

  private static final int CONNECTIONS_PER_UPSTREAM = 64;
  private static final String PLATFORM_KEY = "demonstration-platform-key";
  private static final String CLUSTER_KEY = "demonstration-cluster-key";
  private static final String OPERATOR_KEY = "demonstration-operator-key";

  /** An entry VM of the demonstration. */
  public record EntryVm(String name, String failureDomain, String address, Process process) {}

  /** An upstream of the demonstration. */
  public record Upstream(String failureDomain, String address, double speed) {}

  private final ProcessGroup processes;
  private final BlockingHttp http;
  private final Path folder;
  private final String daemonClassPath;
  private final String standInClassPath;
  private final List<EntryVm> entryVms = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private String platformAddress;

  public Cluster(ProcessGroup processes, BlockingHttp http, Path folder) {
    this.processes = processes;
    this.http = http;
    this.folder = folder;
    this.daemonClassPath =
        System.getProperty("lovagerack.daemon.classpath", System.getProperty("java.class.path"));
    this.standInClassPath = System.getProperty("java.class.path");
  }

  public List<EntryVm> entryVms() {
    return List.copyOf(entryVms);
  }

  public List<Upstream> upstreams() {
    return List.copyOf(upstreams);
  }

  public void start() throws IOException, InterruptedException {
    platformAddress =
        processes
            .start(
                "platform",
                standInClassPath,
                "org.lovagerack.standins.PlatformStandInMain",
                List.of("--port", "0", "--key", PLATFORM_KEY))
            .address();
    for (String domain : FAILURE_DOMAINS) {
      for (double speed : UPSTREAM_SPEEDS) {
        startUpstream(domain, speed);
      }
      startEntryVms(domain);
    }
  }

  private void startUpstream(String domain, double speed) throws IOException {
    String name = "upstream-" + domain + "-" + speed;
    ProcessGroup.Started started =
        processes.start(
            name,
            standInClassPath,
            "org.lovagerack.standins.upstream.UpstreamStandInMain",
            List.of(
                "--slots",
                Integer.toString(SLOTS_PER_UPSTREAM),
                "--speed",
                Double.toString(speed)));
    upstreams.add(new Upstream(domain, started.address(), speed));
  }

  private void startEntryVms(String domain) throws IOException {
    List<String> peerAddresses = new ArrayList<>();
    for (int i = 0; i < ENTRY_VMS_PER_DOMAIN; i++) {
      peerAddresses.add("127.0.0.1:" + freePort());
    }
    for (int i = 0; i < ENTRY_VMS_PER_DOMAIN; i++) {
      String name = "entry-" + domain + "-" + (i + 1);
      List<String> otherPeerAddresses = new ArrayList<>(peerAddresses);
      String ownPeerAddress = otherPeerAddresses.remove(i);
      Files.writeString(
          folder.resolve(name + ".json"),
          settings(domain, ownPeerAddress, otherPeerAddresses).encodePrettily());
      entryVms.add(startEntryVm(name, domain));
    }
  }

  /** Starts an entry VM with the name, settings and peer address of one that has exited. */
  public EntryVm replace(EntryVm ended) throws IOException {
    EntryVm replacement = startEntryVm(ended.name(), ended.failureDomain());
    entryVms.set(entryVms.indexOf(ended), replacement);
    return replacement;
  }

  private EntryVm startEntryVm(String name, String domain) throws IOException {
    Path file = folder.resolve(name + ".json");
    ProcessGroup.Started started =
        processes.start(
            name, daemonClassPath, "org.lovagerack.daemon.Lovagerackd", List.of(file.toString()));
    return new EntryVm(name, domain, started.address(), started.process());
  }

  private JsonObject settings(
      String domain, String ownPeerAddress, List<String> otherPeerAddresses) {
    return new JsonObject()
        .put("region", "nordvik")
        .put("failureDomain", domain)
        .put("callers", new JsonObject().put("address", "127.0.0.1:0"))
        .put(
            "peers",
            new JsonObject()
                .put("address", ownPeerAddress)
                .put("known", new JsonArray(otherPeerAddresses)))
        .put(
            "platform",
            new JsonObject()
                .put("addresses", new JsonArray(List.of(platformAddress)))
                .put("key", PLATFORM_KEY))
        .put("keys", new JsonObject().put("cluster", CLUSTER_KEY).put("operator", OPERATOR_KEY))
        .put("drain", new JsonObject().put("readinessMillis", 300).put("lingerMillis", 500));
  }

  /** Publishes a release note and returns its revision. */
  public long publish(JsonObject note) throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        operatorCall(HttpMethod.POST, entryVms.getFirst(), "notes", note.encode());
    if (reply.status() != 200) {
      throw new IOException("the release note was not accepted: " + reply.body());
    }
    return reply.json().getLong("revision");
  }

  /** Returns the first release note, which adds the service and all upstreams. */
  public JsonObject firstNote() {
    JsonArray upstreamNodes = new JsonArray();
    upstreams.forEach(
        upstream ->
            upstreamNodes.add(
                new JsonObject()
                    .put("address", upstream.address())
                    .put("service", SERVICE)
                    .put("failureDomain", upstream.failureDomain())
                    .put("slots", SLOTS_PER_UPSTREAM)
                    .put("connections", CONNECTIONS_PER_UPSTREAM)));
    JsonObject serviceNode =
        new JsonObject()
            .put("name", SERVICE)
            .put("path", "/tasks")
            .put("messageWeight", 0.5)
            .put("maxQueuedTasks", 5_000)
            .put("maxRunTimeMillis", 10_000)
            .put("objective", 0.99);
    return new JsonObject()
        .put("noteId", "first-note")
        .put("baseRevision", 0)
        .put(
            "added",
            new JsonObject()
                .put("services", new JsonArray().add(serviceNode))
                .put("upstreams", upstreamNodes));
  }

  /** Waits until every running entry VM has applied a revision; returns the time, milliseconds. */
  public long awaitInForce(long revision) throws IOException, InterruptedException {
    long start = System.nanoTime();
    for (EntryVm entryVm : entryVms) {
      while (entryVm.process().isAlive() && revisionOf(entryVm) < revision) {
        Thread.sleep(20);
      }
    }
    return (System.nanoTime() - start) / 1_000_000;
  }

  private long revisionOf(EntryVm entryVm) throws IOException, InterruptedException {
    BlockingHttp.Reply reply = operatorCall(HttpMethod.GET, entryVm, "in-force", "");
    return reply.json().getLong("revision");
  }

  /** Replaces the faults of the platform, as {@code docs/platform-protocol.md} describes them. */
  public void setPlatformFaults(JsonObject faults) throws IOException, InterruptedException {
    controlPlatform("faults", faults.encode());
  }

  /** Replaces the platform's list of VMs. */
  public void setPlatformVms(JsonArray entries) throws IOException, InterruptedException {
    controlPlatform("vms", entries.encode());
  }

  private void controlPlatform(String call, String body) throws IOException, InterruptedException {
    BlockingHttp.Reply reply =
        http.call(HttpMethod.POST, platformAddress, "/control/" + call, Map.of(), body);
    if (reply.status() >= 300) {
      throw new IOException("the platform rejected " + body + ": " + reply.body());
    }
  }

  /** Sends an operator call to an entry VM. */
  public BlockingHttp.Reply operatorCall(
      HttpMethod method, EntryVm entryVm, String call, String body)
      throws IOException, InterruptedException {
    return http.call(
        method,
        entryVm.address(),
        "/v1/operator/" + call,
        Map.of("Authorization", "Bearer " + OPERATOR_KEY),
        body);
  }

  /** Returns the number of starts of each task at all upstreams. */
  public Map<String, Integer> starts() throws IOException, InterruptedException {
    Map<String, Integer> starts = new HashMap<>();
    for (Upstream upstream : upstreams) {
      startsAt(upstream).forEach((task, count) -> starts.merge(task, count, Integer::sum));
    }
    return starts;
  }

  /** Returns the number of starts of each task at one upstream. */
  public Map<String, Integer> startsAt(Upstream upstream) throws IOException, InterruptedException {
    Map<String, Integer> starts = new HashMap<>();
    http.get(upstream.address(), "/control/starts")
        .json()
        .forEach(entry -> starts.put(entry.getKey(), (Integer) entry.getValue()));
    return starts;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
