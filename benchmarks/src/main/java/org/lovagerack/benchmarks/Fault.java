package org.lovagerack.benchmarks;

import java.util.Locale;

/** What goes wrong in a run. */
enum Fault {
  /** One attempt in twenty takes eight times as long, instead of one in a hundred. */
  STRAGGLERS,
  /** The fastest upstream answers every request with an error at once. */
  UPSTREAM_FAILS,
  /** Every open connection to two upstreams goes silent, again and again. */
  SILENT_CONNECTIONS,
  /** Every declared run time is off by up to ten times. */
  WRONG_RUN_TIMES,
  /** One job in twenty cannot finish by its deadline on any upstream. */
  IMPOSSIBLE_JOBS,
  /** Half of the jobs that arrived in the last second are cancelled, again and again. */
  CANCELLATION_WAVES,
  /** Arrivals come three times as fast for a second, again and again. */
  BURSTS,
  /** A fast upstream leaves as announced. */
  UPSTREAM_LEAVES,
  /** A fast upstream dies unannounced: connections break, and new ones are refused. */
  UPSTREAM_DIES,
  /** One entry VM stands still for two seconds. */
  FROZEN_ENTRY_VM;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
