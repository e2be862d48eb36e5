package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;

/**
 * When each entry VM was last heard from. A client whose entry VM is gone sends its job again,
 * perhaps to the owner of another shard, so a job of best effort may run only while the process
 * that holds the client's connection is in contact.
 */
public final class EntryContacts {

  /**
   * Clients send a job again 1.3 s after their connection broke; its tasks must be gone by then,
   * with time for the sweep and for stopping them.
   */
  static final Duration SILENCE = Duration.ofMillis(900);

  /** Two periods of the probes that entry VMs send, well under the lease of a worker. */
  private static final Duration LATELY = Duration.ofMillis(600);

  private final LeaseClock clock;
  private final EntryId self;
  private final Map<EntryId, Contact> contacts = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();

  private record Contact(EntryVm vm, LeaseClock.Moment heard) {}

  /**
   * Creates contacts.
   *
   * @param self this process, which is always in contact
   */
  public EntryContacts(LeaseClock clock, EntryId self) {
    this.clock = clock;
    this.self = self;
  }

  /** Notes a call from an entry VM. */
  public void heard(EntryVm vm) {
    if (contacts.put(vm.id(), new Contact(vm, clock.now())) == null) {
      changed(vm);
    }
  }

  /** Returns the entry VMs of a failure domain that have called and were not forgotten. */
  public List<EntryVm> entries(String failureDomain) {
    return contacts.values().stream()
        .map(Contact::vm)
        .filter(vm -> vm.failureDomain().equals(failureDomain))
        .toList();
  }

  /** Returns a number that grows whenever {@link #entries} of a failure domain changes. */
  public long version(String failureDomain) {
    return versions.getOrDefault(failureDomain, 0L);
  }

  /** Returns whether an entry VM was heard from a short time ago. */
  boolean inContact(EntryId entry) {
    return heardWithin(SILENCE, entry);
  }

  /**
   * Returns whether an entry VM was heard from so lately that no earlier owner can have been asked
   * to go on with its jobs.
   */
  boolean heardLately(EntryId entry) {
    return heardWithin(LATELY, entry);
  }

  private boolean heardWithin(Duration time, EntryId entry) {
    Contact contact = contacts.get(entry);
    return entry.equals(self)
        || (contact != null && clock.since(contact.heard()).compareTo(time) < 0);
  }

  /** Forgets entry VMs that are silent. */
  void forgetSilent() {
    List<EntryVm> silent =
        contacts.values().stream().map(Contact::vm).filter(vm -> !inContact(vm.id())).toList();
    for (EntryVm vm : silent) {
      contacts.remove(vm.id());
      changed(vm);
    }
  }

  private void changed(EntryVm vm) {
    versions.merge(vm.failureDomain(), 1L, Long::sum);
  }
}
