package org.lovagerack.benchmarks.capacity;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.membership.CallReply;
import org.lovagerack.membership.LocalStatus;
import org.lovagerack.membership.MembershipListener;
import org.lovagerack.membership.MembershipView;
import org.lovagerack.membership.Peer;
import org.lovagerack.membership.PeerMessageHandler;
import org.lovagerack.membership.PeerNetwork;
import org.lovagerack.membership.PeerNetworkSettings;
import org.lovagerack.membership.PeerState;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** The peer network of one entry VM, with loads that change at every report. */
final class PeerNode implements PeerMessageHandler, MembershipListener {

  private static final Bytes KEY = Bytes.ofText("cluster key of the benchmark");
  private static final int SLOTS = 8;
  private static final double SLOT_UTILIZATION = 0.7;
  private static final int LOAD_SAMPLES = 64;

  final CountingRelay relay;
  final PeerNetwork network;
  private final MembershipView view;
  private final List<Map<String, Integer>> loads = new ArrayList<>();
  private int reports;
  private long loadsReceived;

  /**
   * @param number number of this node, from 1
   * @param nodes number of nodes that share the slots of the upstreams
   * @param peers addresses of the nodes started before this one
   */
  PeerNode(
      TimerService timer,
      Executor loop,
      CountingRelay relay,
      int number,
      int nodes,
      int upstreams,
      Set<String> peers) {
    this.relay = relay;
    Random random = new Random(number);
    for (int i = 0; i < LOAD_SAMPLES; i++) {
      loads.add(sampleLoad(upstreams, SLOT_UTILIZATION / nodes, random));
    }
    view = new MembershipView(timer, peers);
    view.addListener(this);
    PeerNetworkSettings settings =
        new PeerNetworkSettings(
            "domain-0",
            "127.0.0.1:0",
            Optional.of(relay.address()),
            number,
            KEY,
            PeerNetworkSettings.DEFAULT_MAX_FRAME_BYTES,
            PeerNetworkSettings.DEFAULT_MAX_UNAUTHENTICATED_CONNECTIONS,
            PeerNetworkSettings.DEFAULT_LOAD_BYTES_PER_SECOND);
    network =
        new PeerNetwork(
            timer, loop, settings, random, new SecureRandom(), view, this, this::status);
  }

  CompletableFuture<Void> start() {
    return network.start().thenAccept(address -> relay.forwardTo(network.listeningPort()));
  }

  int livePeers() {
    return view.livePeers().size();
  }

  boolean receivedFromAllSince(long nanos) {
    return view.peers().stream().allMatch(peer -> peer.lastReceivedNanos() - nanos >= 0);
  }

  /** Returns how many changed load reports were received. */
  long loadsReceived() {
    return loadsReceived;
  }

  @Override
  public void loadChanged(Peer peer) {
    loadsReceived++;
  }

  @Override
  public void onCall(CallRequest request, CallReply reply) {}

  @Override
  public void onNotePush(long revision, Bytes note) {}

  private LocalStatus status() {
    Map<String, Integer> inFlight = loads.get(reports++ % LOAD_SAMPLES);
    return new LocalStatus(PeerState.SERVING, 1, 0, inFlight, 1, Set.of());
  }

  /** Samples the number of slots in use of each upstream independently. */
  private static Map<String, Integer> sampleLoad(
      int upstreams, double shareOfSlots, Random random) {
    Map<String, Integer> sample = new TreeMap<>();
    for (int upstream = 0; upstream < upstreams; upstream++) {
      int usedSlots = 0;
      for (int slot = 0; slot < SLOTS; slot++) {
        usedSlots += random.nextDouble() < shareOfSlots ? 1 : 0;
      }
      if (usedSlots > 0) {
        sample.put(Samples.address(upstream), usedSlots);
      }
    }
    return sample;
  }
}
