package org.lovagerack.node.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.data.SocketAddresses;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** JSON encoding of the fleet view that entry VMs exchange. */
final class ViewCodec {

  private static final EventLog LOG = new EventLog(ViewCodec.class);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ViewCodec() {}

  static Buffer encode(FleetView view) {
    ObjectNode root = MAPPER.createObjectNode().put("version", view.version());
    ArrayNode workers = root.putArray("workers");
    view.workers().forEach(worker -> encode(worker, workers.addObject()));
    ArrayNode unlisted = root.putArray("unlistedWorkers");
    view.unlistedWorkers().forEach(worker -> encode(worker, unlisted.addObject()));
    ArrayNode complete = root.putArray("completeShards");
    view.completeShards().forEach(complete::add);
    ArrayNode entries = root.putArray("entries");
    for (EntryVm entry : view.entries()) {
      entries
          .addObject()
          .put("incarnation", entry.id().incarnation())
          .put("address", entry.address())
          .put("failureDomain", entry.failureDomain());
    }
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(root));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }

  private static void encode(WorkerEntry worker, ObjectNode node) {
    ArrayNode labels =
        node.put("id", worker.id().value())
            .put("service", worker.service())
            .put("address", worker.address())
            .put("failureDomain", worker.failureDomain())
            .put("draining", worker.draining())
            .put("cpuMillicores", worker.capacity().cpuMillicores())
            .put("memoryMegabytes", worker.capacity().memoryMegabytes())
            .put("accelerators", worker.capacity().accelerators())
            .put("incarnation", worker.incarnation())
            .put("coldRemainingMillis", worker.coldRemaining().toMillis())
            .putArray("labels");
    worker.labels().forEach(labels::add);
  }

  static FleetView decode(Buffer body) throws IOException {
    JsonNode root = MAPPER.readTree(body.getBytes());
    Set<Integer> complete = new HashSet<>();
    root.path("completeShards").forEach(shard -> complete.add(shard.asInt()));
    List<EntryVm> entries = new ArrayList<>();
    for (JsonNode node : root.path("entries")) {
      if (!SocketAddresses.isValid(node.path("address").asText())) {
        LOG.write(LogEvent.PART_UNREADABLE, "entry", node.path("incarnation").asText());
        continue;
      }
      entries.add(
          new EntryVm(
              new EntryId(node.path("incarnation").asLong()),
              node.path("address").asText(),
              node.path("failureDomain").asText()));
    }
    return new FleetView(
        root.path("version").asLong(),
        decodeWorkers(root.path("workers")),
        decodeWorkers(root.path("unlistedWorkers")),
        complete,
        entries);
  }

  private static List<WorkerEntry> decodeWorkers(JsonNode array) {
    List<WorkerEntry> workers = new ArrayList<>();
    for (JsonNode node : array) {
      if (!SocketAddresses.isValid(node.path("address").asText())) {
        LOG.write(LogEvent.PART_UNREADABLE, "worker", node.path("id").asText());
        continue;
      }
      Set<String> labels = new HashSet<>();
      node.path("labels").forEach(label -> labels.add(label.asText()));
      workers.add(
          new WorkerEntry(
              new WorkerId(node.path("id").asText()),
              node.path("service").asText(),
              node.path("address").asText(),
              node.path("failureDomain").asText(),
              node.path("draining").asBoolean(),
              new Resources(
                  node.path("cpuMillicores").asLong(),
                  node.path("memoryMegabytes").asLong(),
                  node.path("accelerators").asLong()),
              labels,
              node.path("incarnation").asLong(),
              coldRemaining(node)));
    }
    return workers;
  }

  /** Returns the remaining cold time; zero if the sender's version does not know the field. */
  private static Duration coldRemaining(JsonNode node) {
    long millis = node.path("coldRemainingMillis").asLong(0);
    return Duration.ofMillis(Math.clamp(millis, 0, WorkerEntry.MAX_COLD_REMAINING.toMillis()));
  }
}
