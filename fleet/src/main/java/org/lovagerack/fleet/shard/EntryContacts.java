package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.job.EntryId;

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

  private final LeaseClock clock;
  private final EntryId self;
  private final Map<EntryId, LeaseClock.Moment> heard = new HashMap<>();

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
  public void heard(EntryId entry) {
    heard.put(entry, clock.now());
  }

  /** Returns whether an entry VM was heard from a short time ago. */
  boolean inContact(EntryId entry) {
    LeaseClock.Moment last = heard.get(entry);
    return entry.equals(self) || (last != null && clock.since(last).compareTo(SILENCE) < 0);
  }

  /** Forgets entry VMs that are silent. */
  void forgetSilent() {
    heard.keySet().removeIf(entry -> !inContact(entry));
  }
}
