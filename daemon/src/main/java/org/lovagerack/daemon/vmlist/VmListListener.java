package org.lovagerack.daemon.vmlist;

import java.util.Set;

/** Receives changes of the list of VMs. */
public interface VmListListener {

  /**
   * A newer list was read.
   *
   * @param peers addresses of entry VMs of the same failure domain
   * @param others addresses of entry VMs of other failure domains
   */
  void entryVmsListed(Set<String> peers, Set<String> others);

  /** An upstream is leaving. */
  void upstreamLeaving(String upstream);

  /** A leaving upstream is listed as live again. */
  void upstreamLive(String upstream);
}
