package org.lovagerack.dispatch;

import org.lovagerack.notes.UpstreamDefinition;

/** What the dispatcher knows of one upstream. */
final class UpstreamState {

  // In trials with eight entry VMs, 0.1 left three times as many starts to queue at
  // upstreams.
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

  // Position in the ranking of the pool; changed only by the pool.
  double rank;
  boolean ranked;
  boolean guaranteed;
  double capacity;
  double equalCapacity;
  double equalSlots;
  int shareSlots;

  /**
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

  /** Returns the slots that this entry VM may use, those that it uses included. */
  int usableSlots() {
    return Math.min(definition.slots() - peerInFlight, connectionLimit());
  }

  boolean hasFreeSlot() {
    return ownInFlight < usableSlots();
  }

  /** Returns this entry VM's equal share of the slots; a fraction if there are more entry VMs. */
  double equalShare() {
    return Math.min(definition.slots() / (double) liveEntryVms, connectionLimit());
  }

  /** Returns whether this entry VM uses less than an equal share of the slots. */
  boolean belowEqualShare() {
    return ownInFlight < Math.min(definition.slots() / liveEntryVms, connectionLimit());
  }

  /**
   * Returns the logarithmic rank, smaller is better. Starts beyond the equal share count as slower,
   * because the peers may take the same slots before they see this entry VM's report.
   */
  double currentRank() {
    int beyond = ownInFlight + 1 - Math.ceilDiv(definition.slots(), liveEntryVms);
    double offset = liveEntryVms == 1 ? 0 : rankOffset;
    return speed.optimisticLogTimePerUnit() + offset + PENALTY_BEYOND_SHARE * Math.max(0, beyond);
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

  /** Returns whether idle connections should be closed now, and notes that they are. */
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
