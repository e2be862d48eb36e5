package org.lovagerack.fleet.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Local copy of the platform's worker directory. */
public final class WorkerDirectory {

  private static final EventLog LOG = new EventLog(WorkerDirectory.class);

  private final SortedMap<String, WorkerEntry> entries = new TreeMap<>();
  private long version;
  private final List<Consumer<WorkerId>> listeners = new ArrayList<>();

  /**
   * Adds a listener that receives the identity of each worker whose entry changed or was removed.
   */
  public void addListener(Consumer<WorkerId> listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(Consumer<WorkerId> listener) {
    listeners.remove(listener);
  }

  /** Adds or replaces an entry. */
  public void put(WorkerEntry entry) {
    WorkerEntry previous = entries.put(entry.id().value(), entry);
    if (entry.equals(previous)) {
      return;
    }
    // A worker may update its cold time often: that is worth no line in the log each time, nor that
    // the view of the fleet is sent to all entry VMs.
    if (previous == null || !entry.equalsExceptColdTime(previous)) {
      version++;
      LOG.write(
          LogEvent.WORKER_LISTED,
          "worker",
          entry.id(),
          "address",
          entry.address(),
          "draining",
          entry.draining(),
          "incarnation",
          entry.incarnation());
    }
    notifyListeners(entry.id());
  }

  /** Removes an entry. */
  public void remove(WorkerId id) {
    if (entries.remove(id.value()) != null) {
      version++;
      LOG.write(LogEvent.WORKER_UNLISTED, "worker", id);
      notifyListeners(id);
    }
  }

  /** Returns a number that grows with every change except of a remaining cold time. */
  public long version() {
    return version;
  }

  /** Returns the entry of a worker. */
  public Optional<WorkerEntry> find(WorkerId id) {
    return Optional.ofNullable(entries.get(id.value()));
  }

  /** Returns all entries, ordered by identity. */
  public Collection<WorkerEntry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  private void notifyListeners(WorkerId id) {
    for (Consumer<WorkerId> listener : List.copyOf(listeners)) {
      try {
        listener.accept(id);
      } catch (RuntimeException e) {
        // The other shards of this process must learn of the change.
        LOG.write(LogEvent.UNEXPECTED_ERROR, e, "worker", id);
      }
    }
  }
}
