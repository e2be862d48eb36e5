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
 * The connections to other entry VMs. All methods must be called on the event loop, and all
 * callbacks run there.
 */
public final class PeerNetwork {

  /**
   * Matches any process at the address of a call; no process uses this value as its incarnation.
   */
  public static final long ANY_INCARNATION = 0;

  private static final int FRAME_OVERHEAD_BYTES = 64;

  private static final Duration TICK_PERIOD = Duration.ofSeconds(1);

  /** Delay of a tick above which this process is assumed to have been paused. */
  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

  private final TimerService timer;
  private final PeerNetworkSettings settings;
  private final RandomGenerator random;
  private final MembershipView view;
  private final Transport transport;
  private final IncomingConnections incoming;
  private final HeartbeatSender heartbeats;
  private final Map<String, OutgoingLink> links = new TreeMap<>();
  private final LinkNetwork linkNetwork = new LinkNetwork();
  private TimerSubscription tickTimer = () -> {};
  private long lastTickNanos;
  private boolean running;

  /**
   * Creates a network, which does nothing until {@link #start} is called.
   *
   * @param timer source of time, whose callbacks run on the event loop
   * @param eventLoop runs tasks sequentially in the order of submission
   * @param settings settings
   * @param random source of jitter for connection attempts
   * @param nonces source of nonces for the handshake
   * @param view the peers of the own failure domain, which this network updates
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
    this.incoming =
        new IncomingConnections(timer, settings, view, handler, this::incomingAuthenticated);
    this.heartbeats =
        new HeartbeatSender(timer, status, settings.loadBytesPerSecond(), this::broadcast);
  }

  /**
   * Starts to listen and connects to the peers in the view.
   *
   * @return a stage that completes on the event loop with the address at which peers reach this
   *     process, including the actual port; fails if the listening address cannot be bound
   */
  public CompletableFuture<String> start() {
    return transport
        .listen(incoming)
        .thenApply(
            address -> {
              running = true;
              view.setOwnAddress(address);
              lastTickNanos = timer.nanoTime();
              tickTimer = timer.every(TICK_PERIOD, this::tick);
              heartbeats.start();
              connectToPeers();
              return address;
            });
  }

  /** Returns the port that this process listens on; valid only after start. */
  public int listeningPort() {
    return transport.listeningPort();
  }

  /**
   * Calls the process at an address.
   *
   * @param address IP number and port
   * @param expectedIncarnation incarnation that the call is meant for, or {@link #ANY_INCARNATION}
   * @param request the call; its number is set by this method
   * @param timeout maximum time to wait for the answer
   * @param callback receives the outcome, once
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
      call.fail("not an IP address and a port: " + address);
    } else if (request.getSerializedSize() > settings.maxFrameBytes() - FRAME_OVERHEAD_BYTES) {
      call.fail("a call of " + request.getSerializedSize() + " bytes exceeds the frame limit");
    } else {
      link(address).call(call);
    }
  }

  /**
   * Pushes a release note to the live peers that have not reported its revision.
   *
   * @param revision revision after the note is applied
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
          "a release note of " + note.length() + " bytes exceeds the frame limit");
    }
    for (Peer peer : view.livePeers()) {
      OutgoingLink link = links.get(peer.address());
      if (link != null && Long.compareUnsigned(peer.status().revision(), revision) < 0) {
        link.sendToPeer(frame);
      }
    }
  }

  /** Notifies the network of a changed status, to report it before the next periodic heartbeat. */
  public void statusChanged() {
    heartbeats.statusChanged();
  }

  /** Connects to peers that were added to the view. Also runs automatically every second. */
  public void connectToPeers() {
    if (!running) {
      return;
    }
    Set<String> addresses = view.addresses();
    addresses.forEach(address -> link(address).setPermanent(true));
    links.forEach((address, link) -> link.setPermanent(addresses.contains(address)));
  }

  /** Returns the number of addresses to which this process has an outgoing connection. */
  public int connectedAddresses() {
    return (int) links.values().stream().filter(OutgoingLink::connected).count();
  }

  /** Returns the number of connections closed because the other side violated the protocol. */
  public long rejectedConnections() {
    return transport.rejections();
  }

  /**
   * Closes all connections. Pending calls end as not sent or unknown.
   *
   * @return a future that completes on the event loop when the threads have ended
   */
  public CompletableFuture<Void> close() {
    running = false;
    tickTimer.cancel();
    heartbeats.stop();
    List.copyOf(links.values()).forEach(link -> link.close("this process is stopping"));
    links.clear();
    incoming.close("this process is stopping");
    return transport.close();
  }

  private OutgoingLink link(String address) {
    return links.computeIfAbsent(
        address, key -> new OutgoingLink(timer, linkNetwork, key, new ReconnectBackoff(random)));
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

  private void incomingAuthenticated(PeerIdentity peer) {
    OutgoingLink link = links.get(peer.address());
    if (link != null) {
      link.closeOtherIncarnation(peer.incarnation());
    }
    peerAuthenticated(peer);
  }

  private void peerAuthenticated(PeerIdentity peer) {
    if (peer.failureDomain().equals(settings.failureDomain())) {
      view.connected(peer.address(), peer.incarnation());
      connectToPeers();
    }
  }

  private void tick() {
    long now = timer.nanoTime();
    if (now - lastTickNanos > TICK_PERIOD.plus(PAUSE_THRESHOLD).toNanos()) {
      // Frames that arrived during the pause have not been read yet.
      links.values().forEach(OutgoingLink::restartInactivityTimer);
      incoming.restartInactivityTimers();
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
    public Connection dial(String address, Connection.Listener listener) {
      return transport.dial(address, listener);
    }

    @Override
    public void connected(OutgoingLink link, PeerIdentity peer) {
      incoming.closeOtherIncarnations(peer);
      peerAuthenticated(peer);
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
