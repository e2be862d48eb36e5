package org.lovagerack.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;

/** Traffic and processor time of heartbeats and load reports as peers and upstreams grow. */
final class PeerMeasurements {

  /** TCP and IP headers of a packet with the timestamp option. */
  private static final int HEADER_BYTES = 52;

  private final CapacitySizes sizes;

  PeerMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() throws Exception {
    int mostNodes = sizes.networkNodes().getLast();
    exchange(mostNodes, sizes.largestDomain());
    Rows byNodes = new Rows(sizes.largestDomain() + " upstreams", "entry VMs of the domain");
    for (int nodes : sizes.networkNodes()) {
      byNodes.add(nodes, exchange(nodes, sizes.largestDomain()));
    }
    int targetNodes = Math.min(FollowerGroup.DOMAIN_SIZE, mostNodes);
    Rows byUpstreams = new Rows(targetNodes + " entry VMs", "upstreams of the domain");
    for (int upstreams : sizes.upstreamsOfDomain()) {
      byUpstreams.add(upstreams, exchange(targetNodes, upstreams));
    }
    List<Measurement> all = new ArrayList<>(byNodes.all());
    all.addAll(byUpstreams.all());
    return all;
  }

  private PeerExchange.Result exchange(int nodes, int upstreams) throws Exception {
    try (PeerExchange exchange = new PeerExchange()) {
      return exchange.run(nodes, upstreams, sizes.networkSeconds());
    }
  }

  private static final class Rows {
    private final Measurement processor;
    private final Measurement payload;
    private final Measurement traffic;
    private final Measurement reports;
    private final Measurement connect;

    private Rows(String fixed, String size) {
      String suffix = ", " + fixed;
      processor = new Measurement("processor time of an entry VM for peers" + suffix, "µs/s", size);
      payload = new Measurement("payload sent and received" + suffix, "B/s", size);
      traffic =
          new Measurement(
              "the same and " + HEADER_BYTES + " B for every packet" + suffix, "B/s", size);
      reports = new Measurement("load reports from each peer" + suffix, "1/s", size);
      connect = new Measurement("payload to connect to all peers" + suffix, "B", size);
    }

    private void add(int x, PeerExchange.Result result) {
      processor.add(x, result.processorMicrosPerSecond());
      payload.add(x, result.bytesPerSecond());
      traffic.add(x, result.bytesPerSecond() + HEADER_BYTES * result.packetsPerSecond());
      reports.add(x, result.reportsPerPeerAndSecond());
      connect.add(x, result.connectBytes());
    }

    private List<Measurement> all() {
      return List.of(processor, payload, traffic, reports, connect);
    }
  }
}
