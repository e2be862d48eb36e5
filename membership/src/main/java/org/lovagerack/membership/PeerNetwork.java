package org.lovagerack.membership;

import com.google.protobuf.ByteString;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.NotePush;

/**
 * The connections to other entry VMs. Every method must be called on the event loop, and every
 * callback arrives there.
 */
public final class PeerNetwork {

  /** Addresses a call to whichever process has the address; no process draws this incarnation. */
  public static final long ANY_INCARNATION = 0;

  private static final int FRAME_OVERHEAD_BYTES = 64;

  private static final Duration TICK = Duration.ofSeconds(1);

  /** A tick that is late by more than this means that this process was paused. */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  private final TimerService timer;
  private final PeerNetworkSettings settings;
  private final RandomGenerator random;
  private final MembershipView view;
  private final Transport transport;
  private final IncomingConnections incoming;
  private final HeartbeatSender heartbeats;
  private final Map<String, OutgoingLink> links = new TreeMap<>();
  private final LinkNetwork linkNetwork = new LinkNetwork();
  private TimerSubscription ticks = () -> {};
  private long lastTickNanos;
  private boolean running;

  /**
   * Creates a network that does nothing until {@link #start}.
   *
   * @param timer source of time, whose callbacks run on the event loop
   * @param eventLoop runs tasks one after another, in the order given
   * @param settings settings
   * @param random source of the jitter of connection attempts
   * @param nonces source of the nonces of the handshake
   * @param view the peers of the own failure domain, which this network keeps up to date
   * @param handler receives calls and release notes
   * @param status returns the current status of this entry VM; called on the event loop
   */
  public PeerNetwork(
      TimerService timer,
      Executor eventLoop,
      PeerNetworkSettings settings,
      RandomGenerator random,
      SecureRandom nonces,
      MembershipView view,
      PeerMessageHandler handler,
      Supplier<LocalStatus> status) {
    this.timer = timer;
    this.settings = settings;
    this.random = random;
    this.view = view;
    this.transport = new Transport(timer, eventLoop, settings, nonces);
    this.incoming = new IncomingConnections(timer, settings, view, handler, this::incomingProven);
    this.heartbeats =
        new HeartbeatSender(timer, status, settings.loadBytesPerSecond(), this::broadcast);
  }

  /**
   * Listens and connects to the peers that the view knows.
   *
   * @return completes on the event loop with the address under which peers reach this process, with
   *     the actual port; fails if the listening address cannot be bound
   */
  public CompletableFuture<String> start() {
    return transport
        .listen(incoming)
        .thenApply(
            address -> {
              running = true;
              view.setOwnAddress(address);
              lastTickNanos = timer.nanoTime();
              ticks = timer.every(TICK, this::tick);
              heartbeats.start();
              connectToPeers();
              return address;
            });
  }

  /** Returns the port that this process listens on; valid once started. */
  public int listeningPort() {
    return transport.listeningPort();
  }

  /**
   * Calls the process at an address.
   *
   * @param address IP number and port
   * @param expectedIncarnation incarnation that the call is meant for, or {@link #ANY_INCARNATION}
   * @param request the call; its number is set by this method
   * @param timeout how long to wait for the answer
   * @param callback receives the one outcome
   */
  public void call(
      String address,
      long expectedIncarnation,
      CallRequest request,
      Duration timeout,
      Consumer<CallOutcome> callback) {
    OutgoingCall call = new OutgoingCall(timer, expectedIncarnation, request, timeout, callback);
    if (!running) {
      call.fail("the peer network is not running");
    } else if (!PeerAddress.valid(address)) {
      call.fail("not an IP number and a port: " + address);
    } else if (request.getSerializedSize() > settings.maxFrameBytes() - FRAME_OVERHEAD_BYTES) {
      call.fail("a call of " + request.getSerializedSize() + " bytes is over the frame limit");
    } else {
      link(address).call(call);
    }
  }

  /**
   * Pushes a release note to the live peers that have not reported its revision.
   *
   * @param revision revision that the note leads to
   * @param note the note
   */
  public void pushNote(long revision, Bytes note) {
    NotePush push =
        NotePush.newBuilder()
            .setRevision(revision)
            .setNote(ByteString.copyFrom(note.toByteArray()))
            .build();
    Frame frame = Frame.newBuilder().setNotePush(push).build();
    if (frame.getSerializedSize() > settings.maxFrameBytes()) {
      throw new IllegalArgumentException(
          "a release note of " + note.length() + " bytes is over the limit of a frame");
    }
    for (Peer peer : view.livePeers()) {
      OutgoingLink link = links.get(peer.address());
      if (link != null && Long.compareUnsigned(peer.status().revision(), revision) < 0) {
        link.sendToPeer(frame);
      }
    }
  }

  /** Tells the network that the status changed, so that peers hear of it before the next second. */
  public void statusChanged() {
    heartbeats.statusChanged();
  }

  /** Connects to peers that the view has come to know; runs by itself every second. */
  public void connectToPeers() {
    if (!running) {
      return;
    }
    Set<String> addresses = view.addresses();
    addresses.forEach(address -> link(address).keepConnected(true));
    links.forEach((address, link) -> link.keepConnected(addresses.contains(address)));
  }

  /** Returns the number of addresses to which a connection made by this process is up. */
  public int connectedAddresses() {
    return (int) links.values().stream().filter(OutgoingLink::connected).count();
  }

  /** Returns how many connections were closed because the other side broke the protocol. */
  public long rejectedConnections() {
    return transport.rejections();
  }

  /**
   * Closes all connections. Calls end as not sent or unknown.
   *
   * @return completes on the event loop when the threads have ended
   */
  public CompletableFuture<Void> close() {
    running = false;
    ticks.cancel();
    heartbeats.stop();
    List.copyOf(links.values()).forEach(link -> link.close("this process is stopping"));
    links.clear();
    incoming.close("this process is stopping");
    return transport.close();
  }

  private OutgoingLink link(String address) {
    return links.computeIfAbsent(
        address, key -> new OutgoingLink(timer, linkNetwork, key, new RetryDelay(random)));
  }

  private int broadcast(Frame frame) {
    int receivers = 0;
    for (OutgoingLink link : links.values()) {
      if (link.sendToPeer(frame)) {
        receivers++;
      }
    }
    return receivers;
  }

  private void incomingProven(PeerIdentity peer) {
    OutgoingLink link = links.get(peer.address());
    if (link != null) {
      link.replaceOther(peer.incarnation());
    }
    joined(peer);
  }

  private void joined(PeerIdentity peer) {
    if (peer.failureDomain().equals(settings.failureDomain())) {
      view.connected(peer.address(), peer.incarnation());
      connectToPeers();
    }
  }

  private void tick() {
    long now = timer.nanoTime();
    if (now - lastTickNanos > TICK.plus(PAUSE).toNanos()) {
      // Frames that arrived during the pause are still waiting to be read.
      links.values().forEach(OutgoingLink::restartSilence);
      incoming.restartSilence();
    }
    lastTickNanos = now;
    connectToPeers();
    incoming.tick();
    for (Map.Entry<String, OutgoingLink> entry : List.copyOf(links.entrySet())) {
      if (entry.getValue().tick()) {
        links.remove(entry.getKey());
        entry.getValue().close("the connection was idle");
      }
    }
  }

  private final class LinkNetwork implements OutgoingLink.Network {

    @Override
    public Connection dial(String address, Connection.Owner owner) {
      return transport.dial(address, owner);
    }

    @Override
    public void connected(OutgoingLink link, PeerIdentity peer) {
      incoming.replaceOther(peer);
      joined(peer);
      if (isOwnFailureDomain(peer.failureDomain())) {
        link.sendToPeer(heartbeats.snapshot());
        heartbeats.statusChanged();
      }
    }

    @Override
    public boolean isOwnFailureDomain(String failureDomain) {
      return failureDomain.equals(settings.failureDomain());
    }
  }
}
