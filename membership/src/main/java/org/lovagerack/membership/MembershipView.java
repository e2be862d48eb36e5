package org.lovagerack.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * The peers of the own failure domain and whether each is alive, with incarnation, load and
 * revision. Not thread-safe: all methods must be called on the event loop that runs the timer's
 * callbacks.
 */
public final class MembershipView {

  /** Time without a heartbeat after which a peer is suspect. */
  public static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);

  /** Time after which a suspect peer is removed if its address is neither configured nor listed. */
  public static final Duration REMOVE_AFTER = Duration.ofSeconds(60);

  private static final EventLog LOG = new EventLog(MembershipView.class);

  private final TimerService timer;
  private String ownAddress = "";
  private final Set<String> configured;
  private Set<String> listed = Set.of();
  private final Map<String, Entry> entries = new TreeMap<>();
  private final PeerLoads loads = new PeerLoads();
  private final List<MembershipListener> listeners = new ArrayList<>();

  /**
   * Creates a view without peers.
   *
   * @param timer source of time
   * @param configured peer addresses from the settings
   */
  public MembershipView(TimerService timer, Set<String> configured) {
    this.timer = timer;
    this.configured = Set.copyOf(configured);
  }

  /** Adds a listener for later changes. */
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  /** Replaces the addresses of entry VMs that the platform's VM list names. */
  public void setListedAddresses(Set<String> addresses) {
    listed = Set.copyOf(addresses);
    for (Entry entry : List.copyOf(entries.values())) {
      removeIfDeparted(entry);
    }
  }

  /** Returns the addresses to stay connected to: configured, listed and not yet removed ones. */
  public Set<String> addresses() {
    Set<String> addresses = new TreeSet<>(configured);
    addresses.addAll(listed);
    addresses.addAll(entries.keySet());
    addresses.remove(ownAddress);
    return Collections.unmodifiableSet(addresses);
  }

  /** Returns the addresses without a live peer. */
  public Set<String> unreachableAddresses() {
    Set<String> addresses = new TreeSet<>(addresses());
    livePeers().forEach(peer -> addresses.remove(peer.address()));
    return addresses;
  }

  /** Returns all peers that connected and were not removed, sorted by address. */
  public List<Peer> peers() {
    return entries.values().stream().map(entry -> entry.peer).toList();
  }

  /** Returns the peers that are not suspect, sorted by address. */
  public List<Peer> livePeers() {
    return peers().stream().filter(peer -> !peer.suspect()).toList();
  }

  /** Returns the peer at an address, if one has connected. */
  public Optional<Peer> peer(String address) {
    return Optional.ofNullable(entries.get(address)).map(entry -> entry.peer);
  }

  /** Returns the number of peers that use a share of the upstreams, excluding this entry VM. */
  public int peersInShares() {
    return (int) entries.values().stream().filter(entry -> entry.peer.countedInShares()).count();
  }

  /** Returns the total of attempts in flight to an upstream that these peers reported. */
  public int attemptsOfPeers(String upstream) {
    return loads.total(upstream);
  }

  /** Sets the address of this entry VM, which is never a peer. */
  void setOwnAddress(String address) {
    ownAddress = address;
  }

  /**
   * Records a successful handshake. A different incarnation replaces the known one. The last
   * successful handshake wins, because incarnations have no order.
   */
  void connected(String address, long incarnation) {
    Entry entry = entries.get(address);
    if (address.equals(ownAddress) || (entry != null && entry.peer.incarnation() == incarnation)) {
      return;
    }
    Peer current = new Peer(address, incarnation, LocalStatus.initial(), false, timer.nanoTime());
    if (entry == null) {
      Entry added = new Entry(current);
      entries.put(address, added);
      startMonitoring(added);
      notifyListeners(listener -> listener.joined(current));
    } else {
      Peer earlier = entry.peer;
      entry.lastSequence = 0;
      update(entry, current);
      startMonitoring(entry);
      notifyListeners(listener -> listener.replaced(earlier, current));
    }
  }

  /**
   * Records a heartbeat. Heartbeats of other incarnations and late or duplicated heartbeats are
   * ignored.
   */
  void heartbeatReceived(String address, long incarnation, long sequence, LocalStatus status) {
    Entry entry = entries.get(address);
    if (entry == null
        || entry.peer.incarnation() != incarnation
        || Long.compareUnsigned(sequence, entry.lastSequence) <= 0) {
      return;
    }
    entry.lastSequence = sequence;
    Peer earlier = entry.peer;
    Peer current = earlier.withStatus(status, timer.nanoTime());
    update(entry, current);
    if (earlier.suspect()) {
      startMonitoring(entry);
      notifyListeners(listener -> listener.recovered(current));
    }
    if (earlier.status().revision() != status.revision()) {
      notifyListeners(listener -> listener.revisionChanged(current));
    }
    if (!sameLoad(earlier.status(), status)) {
      notifyListeners(listener -> listener.loadChanged(current));
    }
  }

  private static boolean sameLoad(LocalStatus earlier, LocalStatus current) {
    return earlier.state() == current.state()
        && earlier.queuedTasks() == current.queuedTasks()
        && earlier.vmListVersion() == current.vmListVersion()
        && earlier.inFlight().equals(current.inFlight())
        && earlier.leavingUpstreams().equals(current.leavingUpstreams());
  }

  private void update(Entry entry, Peer current) {
    loads.replace(entry.peer, current);
    entry.peer = current;
  }

  private void startMonitoring(Entry entry) {
    entry.monitorNumber++;
    checkLater(entry, entry.monitorNumber, SUSPECT_AFTER.toNanos());
  }

  private void checkLater(Entry entry, long monitorNumber, long delayNanos) {
    timer.after(
        Duration.ofNanos(delayNanos),
        () -> {
          if (entry.monitorNumber == monitorNumber) {
            check(entry, monitorNumber);
          }
        });
  }

  private void check(Entry entry, long monitorNumber) {
    long nanosSinceContact = timer.nanoTime() - entry.peer.lastReceivedNanos();
    if (nanosSinceContact < SUSPECT_AFTER.toNanos()) {
      checkLater(entry, monitorNumber, SUSPECT_AFTER.toNanos() - nanosSinceContact);
      return;
    }
    Peer suspected = entry.peer.asSuspect();
    update(entry, suspected);
    entry.suspectSinceNanos = timer.nanoTime();
    LOG.write(LogEvent.PEER_SUSPECT, "peer", suspected.address());
    notifyListeners(listener -> listener.suspected(suspected));
    timer.after(REMOVE_AFTER, () -> removeIfDeparted(entry));
  }

  private void removeIfDeparted(Entry entry) {
    String address = entry.peer.address();
    boolean known = configured.contains(address) || listed.contains(address);
    if (known
        || !entry.peer.suspect()
        || entries.get(address) != entry
        || timer.nanoTime() - entry.suspectSinceNanos < REMOVE_AFTER.toNanos()) {
      return;
    }
    entries.remove(address);
    notifyListeners(listener -> listener.removed(entry.peer));
  }

  private void notifyListeners(Consumer<MembershipListener> call) {
    listeners.forEach(call);
  }

  private static final class Entry {
    private Peer peer;
    private long lastSequence;
    private long monitorNumber;
    private long suspectSinceNanos;

    private Entry(Peer peer) {
      this.peer = peer;
    }
  }
}
