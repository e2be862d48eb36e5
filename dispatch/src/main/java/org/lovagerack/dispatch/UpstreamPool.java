package org.lovagerack.dispatch;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The upstreams of one service. Those with a free slot are kept sorted by rank, so a routing
 * decision examines only the first ones.
 */
final class UpstreamPool {

  private static final long FASTEST_CACHE_NANOS = 100_000_000;

  private final Set<UpstreamState> members = new LinkedHashSet<>();
  private final TreeSet<UpstreamState> free = new TreeSet<>(UpstreamPool::compareRanks);
  private final TreeSet<UpstreamState> belowShare = new TreeSet<>(UpstreamPool::compareRanks);
  private final Set<UpstreamState> probeDue = new LinkedHashSet<>();
  private double usableCapacity;
  private double equalShareCapacity;
  private double fastest;
  private long fastestNanos = Long.MIN_VALUE;
  private int usableSlots;
  private double equalShareSlots;

  void add(UpstreamState upstream) {
    members.add(upstream);
    invalidateFastest();
    update(upstream);
  }

  void remove(UpstreamState upstream) {
    members.remove(upstream);
    invalidateFastest();
    update(upstream);
  }

  Collection<UpstreamState> members() {
    return members;
  }

  /** Updates the position of an upstream; must be called after every change of its state. */
  void update(UpstreamState upstream) {
    boolean usable =
        members.contains(upstream) && upstream.present() && upstream.health().accepting();
    double rank = upstream.currentRank();
    boolean nowFree = usable && upstream.hasFreeSlot();
    boolean nowBelowShare = usable && !nowFree && upstream.belowEqualShare();
    if (rank != upstream.rank
        || nowFree != upstream.inFreeSet
        || nowBelowShare != upstream.inBelowShareSet) {
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

  /** Returns the best-ranked free upstream that matches a condition, or null. */
  UpstreamState bestFree(Predicate<UpstreamState> accepted) {
    for (UpstreamState upstream : free) {
      if (accepted.test(upstream)) {
        return upstream;
      }
    }
    return null;
  }

  /**
   * Returns the best-ranked upstream without a free slot according to the load reports of the
   * peers, on which this entry VM uses less than its equal share, or null.
   */
  UpstreamState bestBelowShare() {
    return belowShare.isEmpty() ? null : belowShare.first();
  }

  /** Returns an upstream whose probe is due, or null. */
  UpstreamState nextProbe() {
    return probeDue.isEmpty() ? null : probeDue.iterator().next();
  }

  /**
   * Returns the units of work that the slots of this entry VM finish per nanosecond. It is at least
   * that of an equal share of all slots, even if peers occupy them, because this entry VM gets its
   * share after a short wait; otherwise it would refuse every job while its peers occupy all slots.
   * The maximum is taken over the whole pool; if taken per upstream, two entry VMs would count the
   * same slot.
   */
  double capacity() {
    return Math.max(usableCapacity, equalShareCapacity);
  }

  /** Returns the number of slots that this entry VM may use now or after a short wait. */
  int shareSlots() {
    return Math.max(usableSlots, (int) equalShareSlots);
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

  /** Returns the mean over all members of the logarithm of the time per unit of work. */
  double meanLogTimePerUnit() {
    double sum = 0;
    for (UpstreamState upstream : members) {
      sum += upstream.speed().logTimePerUnit();
    }
    return members.isEmpty() ? 0 : sum / members.size();
  }

  /**
   * Returns the smallest time per unit of work among the present upstreams, in nanoseconds. The
   * result is cached for {@link #FASTEST_CACHE_NANOS}.
   */
  double fastestTimePerUnit(long nowNanos) {
    if (fastestNanos == Long.MIN_VALUE || nowNanos - fastestNanos > FASTEST_CACHE_NANOS) {
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

  /** Invalidates the cached fastest upstream after the set of present upstreams changed. */
  void invalidateFastest() {
    fastestNanos = Long.MIN_VALUE;
  }

  /** Recalculates the sums to remove accumulated rounding errors. */
  void recalculateCapacity() {
    usableCapacity = 0;
    equalShareCapacity = 0;
    equalShareSlots = 0;
    for (UpstreamState upstream : members) {
      usableCapacity += upstream.capacity;
      equalShareCapacity += upstream.equalShareCapacity;
      equalShareSlots += upstream.equalShareSlots;
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
    upstream.inFreeSet = nowFree;
    upstream.inBelowShareSet = nowBelowShare;
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
    double newEqualShareCapacity = equalShare / timePerUnit;
    usableCapacity += newCapacity - upstream.capacity;
    equalShareCapacity += newEqualShareCapacity - upstream.equalShareCapacity;
    usableSlots += slots - upstream.countedSlots;
    equalShareSlots += equalShare - upstream.equalShareSlots;
    upstream.capacity = newCapacity;
    upstream.equalShareCapacity = newEqualShareCapacity;
    upstream.countedSlots = slots;
    upstream.equalShareSlots = equalShare;
  }
}
