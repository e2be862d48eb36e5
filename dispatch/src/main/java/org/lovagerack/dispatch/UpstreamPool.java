package org.lovagerack.dispatch;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The upstreams of one service. Those with a free slot are kept in order of rank, so that a routing
 * decision looks at the first ones only.
 */
final class UpstreamPool {

  private static final long FASTEST_VALID_NANOS = 100_000_000;

  private final Set<UpstreamState> members = new LinkedHashSet<>();
  private final TreeSet<UpstreamState> free = new TreeSet<>(UpstreamPool::compareRanks);
  private final TreeSet<UpstreamState> belowShare = new TreeSet<>(UpstreamPool::compareRanks);
  private final Set<UpstreamState> probeDue = new LinkedHashSet<>();
  private double usableCapacity;
  private double equalCapacity;
  private double fastest;
  private long fastestNanos = Long.MIN_VALUE;
  private int usableSlots;
  private double equalSlots;

  void add(UpstreamState upstream) {
    members.add(upstream);
    presenceChanged();
    update(upstream);
  }

  void remove(UpstreamState upstream) {
    members.remove(upstream);
    presenceChanged();
    update(upstream);
  }

  Collection<UpstreamState> members() {
    return members;
  }

  /** Brings the position of an upstream up to date after any change of it. */
  void update(UpstreamState upstream) {
    boolean usable =
        members.contains(upstream) && upstream.present() && upstream.health().accepting();
    double rank = upstream.currentRank();
    boolean nowFree = usable && upstream.hasFreeSlot();
    boolean nowBelowShare = usable && !nowFree && upstream.belowEqualShare();
    if (rank != upstream.rank
        || nowFree != upstream.ranked
        || nowBelowShare != upstream.guaranteed) {
      reposition(upstream, rank, nowFree, nowBelowShare);
    }
    updateCapacity(upstream, usable);
    boolean probe =
        members.contains(upstream)
            && upstream.present()
            && upstream.health().state() == UpstreamHealth.State.PROBE_DUE
            && upstream.hasFreeSlot();
    if (probe) {
      probeDue.add(upstream);
    } else {
      probeDue.remove(upstream);
    }
  }

  boolean hasFree() {
    return !free.isEmpty();
  }

  /** Returns the free upstream of the best rank that is accepted, or null. */
  UpstreamState bestFree(Predicate<UpstreamState> accepted) {
    for (UpstreamState upstream : free) {
      if (accepted.test(upstream)) {
        return upstream;
      }
    }
    return null;
  }

  /**
   * Returns the upstream of the best rank on which the peers' reports leave no slot but this entry
   * VM is below its equal share, or null.
   */
  UpstreamState bestBelowShare() {
    return belowShare.isEmpty() ? null : belowShare.first();
  }

  /** Returns an upstream that waits for a probe, or null. */
  UpstreamState nextProbe() {
    return probeDue.isEmpty() ? null : probeDue.iterator().next();
  }

  /**
   * Returns the units of work that the slots of this entry VM finish in one unit of time. Slots
   * that peers hold count up to the equal share of all slots, because this entry VM gets those
   * after a short wait; otherwise it would refuse every job while its peers hold all slots. The
   * share is taken over the whole pool: taken for each upstream it would count the same slot at two
   * entry VMs.
   */
  double capacity() {
    return Math.max(usableCapacity, equalCapacity);
  }

  /** Returns the slots that this entry VM may use now or after a short wait. */
  int shareSlots() {
    return Math.max(usableSlots, (int) equalSlots);
  }

  boolean anyPresent() {
    for (UpstreamState upstream : members) {
      if (upstream.present()) {
        return true;
      }
    }
    return false;
  }

  int presentCount() {
    return count(UpstreamState::present);
  }

  int ejectedCount() {
    return count(upstream -> upstream.present() && !upstream.health().accepting());
  }

  /** Returns the mean logarithmic time per unit of all members. */
  double meanLogTimePerUnit() {
    double sum = 0;
    for (UpstreamState upstream : members) {
      sum += upstream.speed().logTimePerUnit();
    }
    return members.isEmpty() ? 0 : sum / members.size();
  }

  /**
   * Returns the smallest time per unit of the upstreams that are present. The scan over all members
   * is repeated after {@link #FASTEST_VALID_NANOS} only.
   */
  double fastestTimePerUnit(long nowNanos) {
    if (fastestNanos == Long.MIN_VALUE || nowNanos - fastestNanos > FASTEST_VALID_NANOS) {
      fastest = Double.POSITIVE_INFINITY;
      for (UpstreamState upstream : members) {
        if (upstream.present()) {
          fastest = Math.min(fastest, upstream.speed().timePerUnit());
        }
      }
      fastestNanos = nowNanos;
    }
    return fastest;
  }

  /** Has the fastest upstream searched again, because the set of present ones has changed. */
  void presenceChanged() {
    fastestNanos = Long.MIN_VALUE;
  }

  /** Sums the capacity again, which removes accumulated rounding errors. */
  void recalculateCapacity() {
    usableCapacity = 0;
    equalCapacity = 0;
    equalSlots = 0;
    for (UpstreamState upstream : members) {
      usableCapacity += upstream.capacity;
      equalCapacity += upstream.equalCapacity;
      equalSlots += upstream.equalSlots;
    }
  }

  private static int compareRanks(UpstreamState first, UpstreamState second) {
    int byRank = Double.compare(first.rank, second.rank);
    return byRank != 0 ? byRank : Integer.compare(first.index(), second.index());
  }

  private int count(Predicate<UpstreamState> condition) {
    int count = 0;
    for (UpstreamState upstream : members) {
      if (condition.test(upstream)) {
        count++;
      }
    }
    return count;
  }

  private void reposition(
      UpstreamState upstream, double rank, boolean nowFree, boolean nowBelowShare) {
    free.remove(upstream);
    belowShare.remove(upstream);
    upstream.rank = rank;
    upstream.ranked = nowFree;
    upstream.guaranteed = nowBelowShare;
    if (nowFree) {
      free.add(upstream);
    }
    if (nowBelowShare) {
      belowShare.add(upstream);
    }
  }

  private void updateCapacity(UpstreamState upstream, boolean usable) {
    double timePerUnit = upstream.speed().timePerUnit();
    int slots = usable ? Math.max(0, upstream.usableSlots()) : 0;
    double equalShare = usable ? upstream.equalShare() : 0;
    double newCapacity = slots / timePerUnit;
    double newEqualCapacity = equalShare / timePerUnit;
    usableCapacity += newCapacity - upstream.capacity;
    equalCapacity += newEqualCapacity - upstream.equalCapacity;
    usableSlots += slots - upstream.shareSlots;
    equalSlots += equalShare - upstream.equalSlots;
    upstream.capacity = newCapacity;
    upstream.equalCapacity = newEqualCapacity;
    upstream.shareSlots = slots;
    upstream.equalSlots = equalShare;
  }
}
