package org.lovagerack.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Attempts in flight per upstream as the other entry VMs of the failure domain report them. */
final class PeerLoads {

  /** Receives changes of the reports. */
  interface Listener {

    /** The peers together have another number of attempts at an upstream. */
    void upstreamChanged(String upstream, int inFlight);

    /** The number of peers with a current report has changed. */
    void peersChanged(int peers);
  }

  private final AlarmQueue alarms;
  private final Turn turn;
  private final DispatchSettings settings;
  private final Listener listener;
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Integer> totals = new HashMap<>();

  PeerLoads(AlarmQueue alarms, Turn turn, DispatchSettings settings, Listener listener) {
    this.alarms = alarms;
    this.turn = turn;
    this.settings = settings;
    this.listener = listener;
  }

  /** Replaces the report of a peer; it counts until it is replaced or too old. */
  void report(String peer, Map<String, Integer> inFlight) {
    Map<String, Integer> copy = Map.copyOf(inFlight);
    AlarmQueue.Alarm expiry =
        alarms.after(settings.peerReportTimeout(), () -> turn.run(() -> remove(peer)));
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
