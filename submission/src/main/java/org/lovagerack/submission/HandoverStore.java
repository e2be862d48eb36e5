package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Answers and refusals that draining peers handed over. */
final class HandoverStore {

  private final Duration maxRetention;
  private final long maxBytes;
  private final Map<SubmissionId, Held> held = new HashMap<>();
  private long heldBytes;

  HandoverStore(Duration maxRetention, long maxBytes) {
    this.maxRetention = maxRetention;
    this.maxBytes = maxBytes;
  }

  /**
   * Keeps an entry for its remaining retention. An earlier entry of the identifier stays. An entry
   * for which there is no room is dropped; its callers then get {@code OWNER_LOST}.
   */
  void add(Handover.Entry entry, long nowNanos) {
    Duration retention =
        entry.retention().compareTo(maxRetention) < 0 ? entry.retention() : maxRetention;
    long bytes = SubmissionLedger.size(entry.status());
    if (retention.isPositive()
        && heldBytes + bytes <= maxBytes
        && held.putIfAbsent(entry.id(), new Held(entry, nowNanos + retention.toNanos())) == null) {
      heldBytes += bytes;
    }
  }

  Optional<Handover.Entry> find(SubmissionId id, long nowNanos) {
    Held found = held.get(id);
    return found == null || found.isExpired(nowNanos) ? Optional.empty() : Optional.of(found.entry);
  }

  void expire(long nowNanos) {
    Iterator<Held> items = held.values().iterator();
    while (items.hasNext()) {
      Held item = items.next();
      if (item.isExpired(nowNanos)) {
        items.remove();
        heldBytes -= SubmissionLedger.size(item.entry.status());
      }
    }
  }

  /** Returns the entries with their remaining retention. */
  List<Handover.Entry> entries(long nowNanos) {
    expire(nowNanos);
    List<Handover.Entry> entries = new ArrayList<>(held.size());
    for (Held item : held.values()) {
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

  private record Held(Handover.Entry entry, long expiresNanos) {
    private boolean isExpired(long nowNanos) {
      return nowNanos - expiresNanos >= 0;
    }
  }
}
