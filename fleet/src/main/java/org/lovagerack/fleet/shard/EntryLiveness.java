package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;

/**
 * Tracks when each entry VM last called this process. A client whose entry VM has failed submits
 * its job again, possibly to the owner of another shard. A best-effort job may therefore run only
 * while the process with the client's connection is reachable.
 */
public final class EntryLiveness {

  /**
   * Time without a call after which an entry VM counts as unreachable. Clients resubmit a job 1.3 s
   * after their connection breaks. The remaining 0.4 s cover the sweep and stopping the tasks.
   */
  static final Duration CONTACT_TIMEOUT = Duration.ofMillis(900);

  /** Twice the period at which entry VMs send probes, and well below the lease of a worker. */
  private static final Duration RECENT_CONTACT_LIMIT = Duration.ofMillis(600);

  private final LeaseClock clock;
  private final EntryId self;
  private final Map<EntryId, Contact> contacts = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();

  private record Contact(EntryVm vm, LeaseClock.Timestamp at) {}

  /**
   * Creates a tracker without contacts.
   *
   * @param self identifier of this process, which is always reachable
   */
  public EntryLiveness(LeaseClock clock, EntryId self) {
    this.clock = clock;
    this.self = self;
  }

  /** Returns the identifier of this process. */
  EntryId self() {
    return self;
  }

  /** Records a call from an entry VM. */
  public void recordContact(EntryVm vm) {
    if (contacts.put(vm.id(), new Contact(vm, clock.now())) == null) {
      incrementVersion(vm);
    }
  }

  /** Returns the known entry VMs of a failure domain. */
  public List<EntryVm> entries(String failureDomain) {
    return contacts.values().stream()
        .map(Contact::vm)
        .filter(vm -> vm.failureDomain().equals(failureDomain))
        .toList();
  }

  /** Returns a version that increases whenever {@link #entries} changes for the failure domain. */
  public long version(String failureDomain) {
    return versions.getOrDefault(failureDomain, 0L);
  }

  /** Returns whether an entry VM has called within {@link #CONTACT_TIMEOUT}. */
  boolean isReachable(EntryId entry) {
    return contactedWithin(CONTACT_TIMEOUT, entry);
  }

  /**
   * Returns whether an entry VM has called so recently that it cannot have requested a former owner
   * to continue its jobs.
   */
  boolean contactedRecently(EntryId entry) {
    return contactedWithin(RECENT_CONTACT_LIMIT, entry);
  }

  private boolean contactedWithin(Duration limit, EntryId entry) {
    Contact contact = contacts.get(entry);
    return entry.equals(self)
        || (contact != null && clock.since(contact.at()).compareTo(limit) < 0);
  }

  /** Removes the entry VMs that are unreachable. */
  void removeUnreachable() {
    List<EntryVm> unreachable =
        contacts.values().stream().map(Contact::vm).filter(vm -> !isReachable(vm.id())).toList();
    for (EntryVm vm : unreachable) {
      contacts.remove(vm.id());
      incrementVersion(vm);
    }
  }

  private void incrementVersion(EntryVm vm) {
    versions.merge(vm.failureDomain(), 1L, Long::sum);
  }
}
