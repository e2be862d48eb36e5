package org.lovagerack.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;

/** Measures traffic and processor time of heartbeats and load reports between entry VMs. */
final class PeerMeasurements {

  /** Size of the TCP and IPv4 headers of a packet, with the TCP timestamp option. */
  private static final int HEADER_BYTES = 52;

  private final CapacitySizes sizes;

  PeerMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() throws Exception {
    int maxNodes = sizes.peerNodes().getLast();
    exchange(maxNodes, sizes.maxDomainUpstreams());
    ExchangeMeasurements byNodes =
        new ExchangeMeasurements(
            sizes.maxDomainUpstreams() + " upstreams", "entry VMs of the domain");
    for (int nodes : sizes.peerNodes()) {
      byNodes.add(nodes, exchange(nodes, sizes.maxDomainUpstreams()));
    }
    int domainNodes = Math.min(FollowerGroup.DOMAIN_SIZE, maxNodes);
    ExchangeMeasurements byUpstreams =
        new ExchangeMeasurements(domainNodes + " entry VMs", "upstreams of the domain");
    for (int upstreams : sizes.domainUpstreams()) {
      byUpstreams.add(upstreams, exchange(domainNodes, upstreams));
    }
    List<Measurement> all = new ArrayList<>(byNodes.all());
    all.addAll(byUpstreams.all());
    return all;
  }

  private PeerExchange.Result exchange(int nodes, int upstreams) throws Exception {
    try (PeerExchange exchange = new PeerExchange()) {
      return exchange.run(nodes, upstreams, sizes.peerSeconds());
    }
  }

  private static final class ExchangeMeasurements {
    private final Measurement processor;
    private final Measurement payload;
    private final Measurement traffic;
    private final Measurement reports;
    private final Measurement connect;

    private ExchangeMeasurements(String fixed, String size) {
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
