package org.lovagerack.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Attempts in flight per upstream, as reported by the other entry VMs of the failure domain. */
final class PeerLoads {

  /** Receives changes of the reports. */
  interface Listener {

    /** The total number of attempts that the peers have at an upstream has changed. */
    void upstreamChanged(String upstream, int inFlight);

    /** The number of peers with a current report has changed. */
    void peersChanged(int peers);
  }

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final DispatchSettings settings;
  private final Listener listener;
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Integer> totals = new HashMap<>();

  PeerLoads(AlarmQueue alarms, RoutingBatch routing, DispatchSettings settings, Listener listener) {
    this.alarms = alarms;
    this.routing = routing;
    this.settings = settings;
    this.listener = listener;
  }

  /** Replaces the report of a peer; it is used until it is replaced or expires. */
  void report(String peer, Map<String, Integer> inFlight) {
    Map<String, Integer> copy = Map.copyOf(inFlight);
    AlarmQueue.Alarm expiry =
        alarms.after(settings.peerReportTimeout(), () -> routing.run(() -> remove(peer)));
    Report old = reports.put(peer, new Report(copy, expiry));
    if (old == null) {
      listener.peersChanged(reports.size());
    } else {
      alarms.cancel(old.expiry);
    }
    replace(old == null ? Map.of() : old.inFlight, copy);
  }

  void remove(String peer) {
    Report old = reports.remove(peer);
    if (old == null) {
      return;
    }
    alarms.cancel(old.expiry);
    replace(old.inFlight, Map.of());
    listener.peersChanged(reports.size());
  }

  int peers() {
    return reports.size();
  }

  int inFlight(String upstream) {
    return totals.getOrDefault(upstream, 0);
  }

  private void replace(Map<String, Integer> before, Map<String, Integer> after) {
    after.forEach((upstream, count) -> change(upstream, count - before.getOrDefault(upstream, 0)));
    before.forEach(
        (upstream, count) -> {
          if (!after.containsKey(upstream)) {
            change(upstream, -count);
          }
        });
  }

  private void change(String upstream, int difference) {
    if (difference == 0) {
      return;
    }
    int total = totals.merge(upstream, difference, Integer::sum);
    if (total == 0) {
      totals.remove(upstream);
    }
    listener.upstreamChanged(upstream, total);
  }

  private static final class Report {
    private final Map<String, Integer> inFlight;
    private final AlarmQueue.Alarm expiry;

    private Report(Map<String, Integer> inFlight, AlarmQueue.Alarm expiry) {
      this.inFlight = inFlight;
      this.expiry = expiry;
    }
  }
}
