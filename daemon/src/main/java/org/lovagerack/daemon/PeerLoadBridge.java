package org.lovagerack.daemon;

import org.lovagerack.daemon.vmlist.VmListFollower;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.membership.MembershipListener;
import org.lovagerack.membership.Peer;

/** Passes the load that peers report to the dispatcher, and leaving upstreams to the VM list. */
final class PeerLoadBridge implements MembershipListener {

  private final Dispatcher dispatcher;
  private final VmListFollower vmList;

  PeerLoadBridge(Dispatcher dispatcher, VmListFollower vmList) {
    this.dispatcher = dispatcher;
    this.vmList = vmList;
  }

  @Override
  public void joined(Peer peer) {
    update(peer);
  }

  @Override
  public void recovered(Peer peer) {
    update(peer);
  }

  @Override
  public void replaced(Peer earlier, Peer current) {
    dispatcher.peerLeft(earlier.address());
    update(current);
  }

  @Override
  public void loadChanged(Peer peer) {
    update(peer);
  }

  @Override
  public void suspected(Peer peer) {
    dispatcher.peerLeft(peer.address());
  }

  @Override
  public void removed(Peer peer) {
    dispatcher.peerLeft(peer.address());
  }

  private void update(Peer peer) {
    if (peer.countedInShares()) {
      dispatcher.peerLoads(peer.address(), peer.status().inFlight());
    } else {
      dispatcher.peerLeft(peer.address());
    }
    vmList.updateFromPeer(peer.status().vmListVersion(), peer.status().leavingUpstreams());
  }
}
