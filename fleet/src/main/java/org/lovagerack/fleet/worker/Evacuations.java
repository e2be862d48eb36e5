package org.lovagerack.fleet.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Failure domains whose workers get no new tasks on the operator's request, as of a version of the
 * store. The set comes from the store or from another entry VM; the newer version wins. One
 * instance serves all shards and islands of a process.
 */
public final class Evacuations {

  /** Lower than the version of any store. */
  private static final long UNKNOWN_VERSION = -1;

  private static final EventLog LOG = new EventLog(Evacuations.class);

  private final List<Runnable> listeners = new ArrayList<>();
  private Set<String> domains = Set.of();
  private long version = UNKNOWN_VERSION;

  /** Returns a known set without evacuations. */
  public static Evacuations none() {
    Evacuations none = new Evacuations();
    none.update(0, Set.of());
    return none;
  }

  /** Adds a listener that is called when the set has changed or has become known. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(Runnable listener) {
    listeners.remove(listener);
  }

  /** Returns whether the workers of a failure domain get no new tasks. */
  public boolean contains(String failureDomain) {
    return domains.contains(failureDomain);
  }

  /** Returns whether the set has been read from the store or adopted from a peer. */
  public boolean known() {
    return version != UNKNOWN_VERSION;
  }

  /** Returns the evacuated failure domains; the same instance until the set changes. */
  public Set<String> domains() {
    return domains;
  }

  /** Returns the store version up to which the set was read; negative if it is not known. */
  public long version() {
    return version;
  }

  /**
   * Replaces the set, unless the version is not newer than the present one.
   *
   * @param newVersion store version up to which the set was read
   * @return whether the set changed
   */
  public boolean update(long newVersion, Set<String> newDomains) {
    if (newVersion <= version) {
      return false;
    }
    boolean first = !known();
    Set<String> former = domains;
    version = newVersion;
    boolean changed = !former.equals(newDomains);
    if (changed) {
      domains = Set.copyOf(newDomains);
      logDifference(LogEvent.EVACUATION_REQUESTED, domains, former);
      logDifference(LogEvent.EVACUATION_WITHDRAWN, former, domains);
    }
    if (changed || first) {
      notifyListeners();
    }
    return changed;
  }

  private void logDifference(LogEvent event, Set<String> set, Set<String> without) {
    set.stream()
        .filter(domain -> !without.contains(domain))
        .sorted()
        .forEach(domain -> LOG.write(event, "failureDomain", domain, "version", version));
  }

  private void notifyListeners() {
    for (Runnable listener : List.copyOf(listeners)) {
      try {
        listener.run();
      } catch (RuntimeException e) {
        // The other shards of this process must learn of the change.
        LOG.write(LogEvent.UNEXPECTED_ERROR, e, "evacuations", domains);
      }
    }
  }
}
