package org.lovagerack.dispatch;

import org.lovagerack.notes.UpstreamDefinition;

/** Mutable state of one upstream. */
final class UpstreamState {

  // With eight entry VMs, 0.1 causes three times as many starts to queue at upstreams.
  private static final double PENALTY_BEYOND_SHARE = 0.6;

  private final int index;
  private final SpeedEstimate speed;
  private final UpstreamHealth health = new UpstreamHealth();
  private final double rankOffset;
  private UpstreamDefinition definition;
  private boolean leaving;
  private boolean withdrawn;
  private boolean suspect;
  private int ownInFlight;
  private int peerInFlight;
  private int liveEntryVms = 1;
  private long lastUsedNanos;
  private boolean idleConnectionsOpen;
  private AlarmQueue.Alarm probeAlarm;

  // Position in the ranking and contribution to the sums of the pool; modified only by the pool.
  double rank;
  boolean inFreeSet;
  boolean inBelowShareSet;
  double capacity;
  double equalShareCapacity;
  double equalShareSlots;
  int countedSlots;

  /**
   * @param logSpeed initial estimate of the logarithm of the time per unit of work
   * @param rankOffset small random offset of the logarithmic rank, so that entry VMs with equal
   *     estimates do not all choose the same upstream between two load reports
   */
  UpstreamState(int index, UpstreamDefinition definition, double logSpeed, double rankOffset) {
    this.index = index;
    this.definition = definition;
    this.speed = new SpeedEstimate(logSpeed);
    this.rankOffset = rankOffset;
  }

  int index() {
    return index;
  }

  String address() {
    return definition.address();
  }

  UpstreamDefinition definition() {
    return definition;
  }

  SpeedEstimate speed() {
    return speed;
  }

  UpstreamHealth health() {
    return health;
  }

  /** Returns whether the upstream is in the deployment and not leaving. */
  boolean present() {
    return !leaving && !withdrawn;
  }

  boolean leaving() {
    return leaving;
  }

  boolean withdrawn() {
    return withdrawn;
  }

  int ownInFlight() {
    return ownInFlight;
  }

  int connectionLimit() {
    return Math.max(1, definition.connections() / liveEntryVms);
  }

  /** Returns the number of slots that this entry VM may use, including those in use. */
  int usableSlots() {
    return Math.min(definition.slots() - peerInFlight, connectionLimit());
  }

  boolean hasFreeSlot() {
    return ownInFlight < usableSlots();
  }

  /** Returns this entry VM's equal share of the slots, which may be a fraction. */
  double equalShare() {
    return Math.min(definition.slots() / (double) liveEntryVms, connectionLimit());
  }

  /** Returns whether this entry VM uses less than an equal share of the slots. */
  boolean belowEqualShare() {
    return ownInFlight < Math.min(definition.slots() / liveEntryVms, connectionLimit());
  }

  /**
   * Returns the logarithmic rank; smaller is better. Starts beyond the equal share are penalized,
   * because peers may use the same slots before they receive this entry VM's load report.
   */
  double currentRank() {
    int beyondShare = ownInFlight + 1 - Math.ceilDiv(definition.slots(), liveEntryVms);
    double offset = liveEntryVms == 1 ? 0 : rankOffset;
    return speed.optimisticLogTimePerUnit()
        + offset
        + PENALTY_BEYOND_SHARE * Math.max(0, beyondShare);
  }

  void define(UpstreamDefinition newDefinition) {
    definition = newDefinition;
    withdrawn = false;
  }

  void withdraw() {
    withdrawn = true;
  }

  void setLeaving(boolean value) {
    leaving = value;
  }

  void setPeerInFlight(int value) {
    peerInFlight = value;
  }

  void setLiveEntryVms(int value) {
    liveEntryVms = value;
  }

  void slotTaken(long nowNanos) {
    ownInFlight++;
    lastUsedNanos = nowNanos;
    idleConnectionsOpen = true;
  }

  void slotReleased(long nowNanos) {
    ownInFlight--;
    lastUsedNanos = nowNanos;
  }

  long lastUsedNanos() {
    return lastUsedNanos;
  }

  /** Returns whether idle connections should be closed now, and marks them as closed if so. */
  boolean closeIdleConnections(long nowNanos, long idleNanos) {
    if (!idleConnectionsOpen || ownInFlight > 0 || nowNanos - lastUsedNanos < idleNanos) {
      return false;
    }
    idleConnectionsOpen = false;
    return true;
  }

  boolean suspect() {
    return suspect;
  }

  void setSuspect(boolean value) {
    suspect = value;
  }

  AlarmQueue.Alarm probeAlarm() {
    return probeAlarm;
  }

  void setProbeAlarm(AlarmQueue.Alarm alarm) {
    probeAlarm = alarm;
  }
}
