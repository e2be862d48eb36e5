package org.lovagerack.daemon.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lovagerack.membership.MembershipView;
import org.lovagerack.membership.Peer;
import org.lovagerack.membership.PeerNetwork;

/**
 * The addresses of other entry VMs: peers of the same failure domain, and those of other domains.
 */
public final class EntryVmDirectory {

  private final MembershipView view;
  private final Set<String> configuredRemote;
  private Set<String> listedRemote = Set.of();

  /**
   * Creates a directory.
   *
   * @param view peers of the same failure domain
   * @param configuredRemote entry VMs of other failure domains listed in the settings
   */
  public EntryVmDirectory(MembershipView view, Set<String> configuredRemote) {
    this.view = view;
    this.configuredRemote = Set.copyOf(configuredRemote);
  }

  /** Sets the entry VMs of other failure domains that the platform lists. */
  public void listRemote(Set<String> addresses) {
    listedRemote = Set.copyOf(addresses);
  }

  /** Returns the incarnations of the live peers of the same failure domain, by address. */
  public Map<String, Long> livePeers() {
    Map<String, Long> peers = new HashMap<>();
    for (Peer peer : view.livePeers()) {
      peers.put(peer.address(), peer.incarnation());
    }
    return peers;
  }

  /** Returns the addresses of all other entry VMs, reachable or not; any incarnation may answer. */
  public Map<String, Long> all() {
    Set<String> addresses = new HashSet<>(configuredRemote);
    addresses.addAll(listedRemote);
    addresses.addAll(view.addresses());
    Map<String, Long> targets = new HashMap<>();
    addresses.forEach(address -> targets.put(address, PeerNetwork.ANY_INCARNATION));
    return targets;
  }
}
