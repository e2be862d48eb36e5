package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: the platform's store and the workers as stand-ins in this process, and the
 * entry VMs as processes, started by the command of the deploy file.
 */
final class Stage implements AutoCloseable {

  static final String HOST = "host.example";
  static final String PREFIX = "/queue/";
  private static final String SERVICE = "service-1";
  private static final long HEARTBEAT_MILLIS = 1500;
  private static final Pattern PLACEHOLDER =
      Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?\\}\\}");

  private static final Random RANDOM = new Random();

  /** An entry VM. */
  static final class Vm {
    final String name;
    final String clientAddress;
    final String readyAddress;
    final String peerAddress;
    final Path settings;
    final Path output;
    Process process;

    Vm(
        String name,
        String clientAddress,
        String readyAddress,
        String peerAddress,
        Path settings,
        Path output) {
      this.name = name;
      this.clientAddress = clientAddress;
      this.readyAddress = readyAddress;
      this.peerAddress = peerAddress;
      this.settings = settings;
      this.output = output;
    }

    boolean ready() {
      return process.isAlive()
          && MiniHttp.call(readyAddress, "GET", "/readiness", HOST, 500, "").status() == 200;
    }
  }

  /** What a client knows of a job that it sent. */
  static final class Job {
    final String id;
    final int tasks;
    boolean accepted;
    boolean bestEffort;

    /** The entry VM that the client called first. */
    Vm door;

    /** Status of the last answer to its submission; 0 if there was none. */
    int status;

    String state = "";

    Job(String id, int tasks) {
      this.id = id;
      this.tasks = tasks;
    }
  }

  final Log log;
  final Runs runs;
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Vm> vms = new ArrayList<>();
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final String network =
      "127.%d.%d.".formatted(1 + RANDOM.nextInt(250), 1 + RANDOM.nextInt(250));
  private final Path temporary;
  private final int cpu;
  private final String storeAddress;
  private long nextJob = 1;
  private volatile boolean closed;

  /**
   * @param cpu capacity of each worker, thousandths of a core
   * @param attempts attempts of a task, from the configuration
   */
  Stage(Path record, int workerCount, int rackSize, int cpu, int attempts) throws Exception {
    this.log = new Log(record);
    this.runs = new Runs(log);
    this.store = new Store(log);
    this.cpu = cpu;
    this.temporary = Files.createTempDirectory("review3");
    this.storeAddress = "127.0.0.1:" + store.listen();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    store.put("op", "config", configuration(attempts));
    for (int i = 0; i < workerCount; i++) {
      Worker worker =
          new Worker(
              "i-%08x".formatted(0x7f3a0000 + i * 257),
              "zone-" + (1 + i % 3),
              "r1-" + (1 + i / rackSize),
              runs,
              log);
      worker.open();
      workers.add(worker);
      store.put("servers", worker.id, worker.entry(SERVICE, 1, cpu));
      Thread.ofVirtual().start(() -> heartbeats(worker));
    }
  }

  private static String configuration(int attempts) {
    ObjectNode root = Store.MAPPER.createObjectNode().put("version", 1);
    root.putArray("routes")
        .addObject()
        .put("name", "queue-1")
        .put("host", HOST)
        .put("prefix", PREFIX)
        .put("kind", "non_idempotent")
        .put("timeout_ms", 1500)
        .put("target_latency_ms", 60)
        .put("priority", 0)
        .put("service", SERVICE)
        .put("attempts", attempts)
        .put("stretch", 1.6);
    root.putArray("services").addObject().put("name", SERVICE).put("rejects_overload", true);
    root.putObject("limits").put("body_bytes", 262_144);
    return root.toString();
  }

  /** An entry is renewed with each heartbeat and removed after three of silence. */
  private void heartbeats(Worker worker) {
    int silent = 0;
    try {
      for (long sequence = 2; !closed; sequence++) {
        Thread.sleep(HEARTBEAT_MILLIS);
        if (worker.up()) {
          silent = 0;
          store.put("servers", worker.id, worker.entry(SERVICE, sequence, cpu));
        } else if (++silent == 3) {
          store.remove("servers", worker.id);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts entry VMs and waits until all are ready. */
  void startVms(int count) throws Exception {
    for (int i = 1; i <= count; i++) {
      vms.add(newVm("frontend-" + i, "zone-" + i));
    }
    for (Vm vm : vms) {
      startProcess(vm);
    }
    awaitReady(vms, 40_000);
  }

  void awaitReady(List<Vm> awaited, long millis) throws Exception {
    long until = log.millis() + millis;
    for (Vm vm : awaited) {
      while (!vm.ready()) {
        if (log.millis() > until) {
          throw new IllegalStateException(vm.name + " is not ready");
        }
        Thread.sleep(100);
      }
    }
  }

  private Vm newVm(String name, String zone) throws Exception {
    // An address of its own, so that no outgoing connection takes one of the ports meanwhile.
    String ip = network + (10 + vms.size());
    int client = freePort(ip);
    int ready = freePort(ip);
    int peer = freePort(ip);
    int metrics = freePort(ip);
    ObjectNode local = Store.MAPPER.createObjectNode();
    local.put("node", name).put("zone", zone).put("ip_address", ip);
    local
        .putObject("listen_addresses")
        .put("frontend", ip + ":" + client)
        .put("ready", ip + ":" + ready);
    local.putArray("internal_port_range").add(peer).add(metrics);
    local.putObject("platform").put("address", storeAddress);
    local
        .putObject("limits")
        .put("memory_mb", 430)
        .put("file_descriptors", 4100)
        .put("cpu_share", 0.75);
    local
        .putObject("bounds")
        .put("hold_maximum_ms", 1000)
        .put("status_s", 120)
        .put("grace_s", 6);
    String settings = render(Files.readString(Path.of("deploy/node.json")), local);
    Path file = temporary.resolve(name + ".json");
    Files.writeString(file, settings);
    return new Vm(
        name,
        ip + ":" + client,
        ip + ":" + ready,
        ip + ":" + peer,
        file,
        temporary.resolve(name + ".out"));
  }

  /** Fills in the template of the settings as DEPLOY.md tells. */
  private static String render(String template, JsonNode local) {
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder out = new StringBuilder();
    while (matcher.find()) {
      JsonNode value = local.at("/" + matcher.group(1).replace('.', '/'));
      if (value.isMissingNode()) {
        throw new IllegalStateException("no value for " + matcher.group(1));
      }
      String text = matcher.group(2) != null ? value.toString() : value.asText();
      matcher.appendReplacement(out, Matcher.quoteReplacement(text));
    }
    return matcher.appendTail(out).toString();
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Starts the process of an entry VM with the run line of the deploy file. */
  void startProcess(Vm vm) throws Exception {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IllegalStateException("the deploy file has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("LOVAGERACK_NODE_FILE", vm.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(vm.output.toFile()));
    vm.process = builder.start();
    log.line(vm.name, "starts, process " + vm.process.pid());
  }

  /** Sends a signal to the process of an entry VM. */
  void signal(Vm vm, String name) throws Exception {
    log.line(vm.name, "gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(vm.process.pid())).start().waitFor();
  }

  /** Returns the entry VM that the store names as the owner of the only shard; null if none. */
  Vm owner() throws IOException {
    String row = store.text("lovagerack-owner", "shard-0", "shard");
    if (row.isEmpty()) {
      return null;
    }
    String address = Store.MAPPER.readTree(row).path("address").asText();
    return vms.stream().filter(vm -> vm.peerAddress.equals(address)).findFirst().orElse(null);
  }

  synchronized String newJobId() {
    return "%016x".formatted(0x5c0e7a0000000000L + nextJob++ * 7919);
  }

  /** Returns a submission with one step. */
  static ObjectNode job(String specification, int tasks, int cpu, int estimatedMillis) {
    ObjectNode job = Store.MAPPER.createObjectNode().put("specification", specification);
    ArrayNode steps = job.putArray("steps");
    steps
        .addObject()
        .put("count", tasks)
        .put("cpu", cpu)
        .put("memory_request_mb", 16)
        .put("estimated_ms", estimatedMillis);
    return job;
  }

  /** Hands a job in, once; returns the job if it was accepted. */
  Job submit(Vm vm, ObjectNode body, int tasks) {
    return submit(vm, body, tasks, 1500);
  }

  Job submit(Vm vm, ObjectNode body, int tasks, int timeoutMillis) {
    Job job = new Job(newJobId(), tasks);
    job.bestEffort = body.path("best_effort").asBoolean();
    job.door = vm;
    jobs.put(job.id, job);
    submitAgain(vm, job, body, timeoutMillis);
    return job;
  }

  /** Hands the same job in again. */
  void submitAgain(Vm vm, Job job, ObjectNode body, int timeoutMillis) {
    MiniHttp.Response response =
        MiniHttp.call(
            vm.clientAddress, "POST", PREFIX + job.id, HOST, timeoutMillis, body.toString());
    job.status = response.status();
    job.accepted |= response.status() == 200;
    log.line(
        "client",
        "POST "
            + job.id
            + " at "
            + vm.name
            + " "
            + body.path("specification").asText()
            + " -> "
            + response.status());
  }

  /** Asks for the state of a job; empty if there is no answer with one. */
  String state(Vm vm, Job job) throws IOException {
    MiniHttp.Response response =
        MiniHttp.call(vm.clientAddress, "GET", PREFIX + job.id, HOST, 1500, "");
    String state =
        response.status() == 200
            ? Store.MAPPER.readTree(response.body()).path("state").asText()
            : "";
    log.line("client", "GET " + job.id + " at " + vm.name + " -> " + response.status() + " " + state);
    job.state = response.status() == 410 ? "unknown" : state;
    return job.state;
  }

  /** Returns lines of the programs' output that contain a word, for the record. */
  void copyOutput(String word, int limit) throws IOException {
    for (Vm vm : vms) {
      try (Stream<String> lines = Files.lines(vm.output, StandardCharsets.UTF_8)) {
        lines
            .filter(line -> line.contains(word))
            .limit(limit)
            .forEach(line -> log.line(vm.name, "output: " + line));
      }
    }
  }

  private void endProcesses() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    endProcesses();
    String keep = System.getenv("KEEP_OUTPUT");
    if (keep != null) {
      for (Vm vm : vms) {
        Files.copy(
            vm.output,
            Path.of(keep, vm.name + ".out"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
    log.close();
  }
}
