import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A machine of the system: a process of the deploy file's command, with settings made from the
 * deploy file's template. Its calls to the store and the calls of other machines pass through links
 * that can be cut.
 */
final class Node {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

  private final Trial trial;
  final String name;
  final String zone;
  final String clientAddress;
  private final String readinessAddress;
  private final Path settings;
  final Link toStore;
  final Link fromPeers;
  private Process process;

  Node(Trial trial, String name, String zone) throws IOException {
    this.trial = trial;
    this.name = name;
    this.zone = zone;
    this.clientAddress = Trial.LOCALHOST + ":" + Trial.freePort();
    this.readinessAddress = Trial.LOCALHOST + ":" + Trial.freePort();
    int peerPort = Trial.freePort();
    this.toStore = new Link(trial.store.listen(this));
    this.fromPeers = new Link(peerPort);
    this.settings = trial.temporary.resolve(name + ".json");
    // The figures are those of DEPLOY.md.
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("zone", zone),
            Map.entry("listen_addresses.frontend", clientAddress),
            Map.entry("listen_addresses.ready", readinessAddress),
            Map.entry("ip_address", Trial.LOCALHOST),
            Map.entry("internal_port_range.0", Integer.toString(peerPort)),
            Map.entry("internal_port_range.1", Integer.toString(Trial.freePort())),
            Map.entry("platform.address", Trial.LOCALHOST + ":" + toStore.port()),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("bounds.hold_maximum_ms", "1000"),
            Map.entry("bounds.status_s", "120"),
            Map.entry("bounds.grace_s", "6"));
    String filled =
        PLACEHOLDER
            .matcher(Files.readString(Path.of("deploy/node.json")))
            .replaceAll(
                match -> {
                  String value = values.get(match.group(1));
                  boolean number = value.matches("[0-9.]+") && !value.contains(":");
                  return Matcher.quoteReplacement(
                      match.group(2) == null || number ? value : '"' + value + '"');
                });
    ObjectNode document = (ObjectNode) Trial.MAPPER.readTree(filled);
    document.put("advertisedPeerAddress", Trial.LOCALHOST + ":" + fromPeers.port());
    Files.writeString(settings, document.toString());
  }

  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("LOVAGERACK_NODE_FILE", settings.toString());
    Path log = trial.temporary.resolve(name + ".log");
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    trial.note("started " + name + " in " + zone);
  }

  boolean ready() {
    if (!process.isAlive()) {
      return false;
    }
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + readinessAddress + "/readiness").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends the process at once, as SIGKILL does. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  void signal(String signal) throws IOException {
    trial.note("SIG" + signal + " to " + name);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Cuts the machine off from the store and from the other machines; clients still reach it. */
  void cut() {
    toStore.cut();
    fromPeers.cut();
  }

  void heal() {
    toStore.heal();
    fromPeers.heal();
  }
}
