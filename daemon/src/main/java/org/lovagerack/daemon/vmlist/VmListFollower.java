package org.lovagerack.daemon.vmlist;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.VmEntry;
import org.lovagerack.platform.VmList;
import org.lovagerack.platform.VmSnapshot;

/**
 * Polls the platform's list of VMs, and accepts newer lists of leaving upstreams from peers. A list
 * older than the current one is ignored.
 */
public final class VmListFollower {

  private static final Duration POLL_PERIOD = Duration.ofSeconds(2);
  private static final double POLL_JITTER = 0.25;

  private final TimerService timer;
  private final RandomGenerator random;
  private final VmList list;
  private final String failureDomain;
  private final List<VmListListener> listeners = new ArrayList<>();
  private long listVersion = -1;
  private long leavingVersion = -1;
  private Set<String> leaving = Set.of();

  /**
   * Creates a follower.
   *
   * @param timer schedules the polls
   * @param random source of the jitter between polls
   * @param list the platform's list
   * @param failureDomain failure domain of this entry VM; its other entry VMs are peers
   */
  public VmListFollower(
      TimerService timer, RandomGenerator random, VmList list, String failureDomain) {
    this.timer = timer;
    this.random = random;
    this.list = list;
    this.failureDomain = failureDomain;
  }

  /** Adds a listener. */
  public void addListener(VmListListener listener) {
    listeners.add(listener);
  }

  /** Starts polling. */
  public void start() {
    poll();
  }

  /** Returns the version of the newest list of leaving upstreams; 0 if none is known. */
  public long version() {
    return Math.max(0, leavingVersion);
  }

  /** Returns the addresses of upstreams that are leaving. */
  public Set<String> leaving() {
    return leaving;
  }

  /** Replaces the leaving upstreams with those of a peer if the list of the peer is newer. */
  public void updateFromPeer(long peerVersion, Set<String> peerLeaving) {
    if (peerVersion > leavingVersion) {
      changeLeaving(peerVersion, peerLeaving);
    }
  }

  /** Removes leaving upstreams that are no longer deployed, which bounds the size of the set. */
  public void retainDeployed(Set<String> upstreams) {
    Set<String> deployed = new HashSet<>(leaving);
    deployed.retainAll(upstreams);
    leaving = Set.copyOf(deployed);
  }

  private void poll() {
    list.list()
        .whenComplete(
            (snapshot, failure) -> {
              if (failure == null) {
                accept(snapshot);
              }
              schedule();
            });
  }

  private void schedule() {
    long nanos =
        POLL_PERIOD.toNanos() + (long) (POLL_PERIOD.toNanos() * POLL_JITTER * random.nextDouble());
    timer.after(Duration.ofNanos(nanos), this::poll);
  }

  private void accept(VmSnapshot snapshot) {
    if (snapshot.version() > listVersion) {
      listVersion = snapshot.version();
      Set<String> peers = new HashSet<>();
      Set<String> others = new HashSet<>();
      for (VmEntry entry : snapshot.entries()) {
        if (entry.role() == VmEntry.Role.ENTRY) {
          (entry.failureDomain().equals(failureDomain) ? peers : others).add(entry.address());
        }
      }
      listeners.forEach(listener -> listener.entryVmsListed(peers, others));
    }
    if (snapshot.version() > leavingVersion) {
      changeLeaving(snapshot.version(), leavingAfter(snapshot));
    }
  }

  /** A leaving upstream that is no longer listed has stopped, so it stays marked as leaving. */
  private Set<String> leavingAfter(VmSnapshot snapshot) {
    Set<String> found = new HashSet<>(leaving);
    for (VmEntry entry : snapshot.entries()) {
      if (entry.role() == VmEntry.Role.UPSTREAM) {
        switch (entry.state()) {
          case LIVE -> found.remove(entry.address());
          case LEAVING -> found.add(entry.address());
        }
      }
    }
    return found;
  }

  private void changeLeaving(long version, Set<String> current) {
    Set<String> before = leaving;
    leavingVersion = version;
    leaving = Set.copyOf(current);
    for (String upstream : leaving) {
      if (!before.contains(upstream)) {
        listeners.forEach(listener -> listener.upstreamLeaving(upstream));
      }
    }
    for (String upstream : before) {
      if (!leaving.contains(upstream)) {
        listeners.forEach(listener -> listener.upstreamLive(upstream));
      }
    }
  }
}
