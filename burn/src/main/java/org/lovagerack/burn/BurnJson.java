package org.lovagerack.burn;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Renders a report as JSON. */
final class BurnJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private BurnJson() {}

  static String render(List<BurnRow> rows, List<String> unreachable) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode services = root.putArray("services");
    rows.forEach(row -> write(services.addObject(), row));
    ArrayNode addresses = root.putArray("unreachable");
    unreachable.forEach(addresses::add);
    return root.toString();
  }

  private static void write(ObjectNode target, BurnRow row) {
    ServiceBurn burn = row.burn();
    target.put("service", row.name());
    target.put("objective", burn.objective());
    target.put("budgetLeft", burn.budgetLeft());
    ObjectNode rates = target.putObject("burnRate");
    ObjectNode jobs = target.putObject("jobs");
    for (BurnWindow window : BurnWindow.values()) {
      rates.put(window.wireName(), burn.burnRate(window));
      BurnSnapshotCodec.writeCounts(jobs.putObject(window.wireName()), burn.windows().get(window));
    }
    ObjectNode budgetUsedBy = target.putObject("budgetUsedBy");
    row.budgetUsedBy().forEach((outcome, share) -> budgetUsedBy.put(outcome.wireName(), share));
    target
        .putObject("responseTimeMillis")
        .put("count", burn.responseTimes().count())
        .put("p50", burn.responseTimes().quantile(BurnRow.MEDIAN).toMillis())
        .put("p99", burn.responseTimes().quantile(BurnRow.HIGH_QUANTILE).toMillis());
  }
}
