package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stores the answers and refusals handed over by draining peers. */
final class HandoverStore {

  private final Duration maxRetention;
  private final long maxBytes;
  private final Map<SubmissionId, StoredEntry> stored = new HashMap<>();
  private long storedBytes;

  HandoverStore(Duration maxRetention, long maxBytes) {
    this.maxRetention = maxRetention;
    this.maxBytes = maxBytes;
  }

  /**
   * Stores an entry for its remaining retention time, unless the identifier already has an entry.
   * An entry that would exceed the size limit is dropped; its callers then get {@code OWNER_LOST}.
   */
  void add(Handover.Entry entry, long nowNanos) {
    Duration retention =
        entry.retention().compareTo(maxRetention) < 0 ? entry.retention() : maxRetention;
    long bytes = SubmissionStore.size(entry.status());
    if (retention.isPositive()
        && storedBytes + bytes <= maxBytes
        && stored.putIfAbsent(entry.id(), new StoredEntry(entry, nowNanos + retention.toNanos()))
            == null) {
      storedBytes += bytes;
    }
  }

  Optional<Handover.Entry> find(SubmissionId id, long nowNanos) {
    StoredEntry found = stored.get(id);
    return found == null || found.isExpired(nowNanos) ? Optional.empty() : Optional.of(found.entry);
  }

  void removeExpired(long nowNanos) {
    Iterator<StoredEntry> items = stored.values().iterator();
    while (items.hasNext()) {
      StoredEntry item = items.next();
      if (item.isExpired(nowNanos)) {
        items.remove();
        storedBytes -= SubmissionStore.size(item.entry.status());
      }
    }
  }

  /** Returns the entries with their remaining retention times. */
  List<Handover.Entry> entries(long nowNanos) {
    removeExpired(nowNanos);
    List<Handover.Entry> entries = new ArrayList<>(stored.size());
    for (StoredEntry item : stored.values()) {
      Handover.Entry entry = item.entry;
      entries.add(
          new Handover.Entry(
              entry.id(),
              entry.bodyDigest(),
              entry.refused(),
              entry.status(),
              Duration.ofNanos(item.expiresNanos - nowNanos)));
    }
    return entries;
  }

  private record StoredEntry(Handover.Entry entry, long expiresNanos) {
    private boolean isExpired(long nowNanos) {
      return nowNanos - expiresNanos >= 0;
    }
  }
}
