package org.lovagerack.benchmarks;

import java.util.Locale;

/** A fault that is injected into a run. */
enum Fault {
  /** 5 % of the attempts take eight times as long, instead of 1 %. */
  STRAGGLERS,
  /** The fastest upstream answers every request with an error after 1 ms. */
  UPSTREAM_FAILS,
  /** All open connections to two upstreams become unresponsive periodically. */
  SILENT_CONNECTIONS,
  /** Every declared run time is off by up to ten times. */
  WRONG_RUN_TIMES,
  /** 5 % of the jobs cannot finish by their deadline on any upstream. */
  IMPOSSIBLE_JOBS,
  /** Half of the jobs that arrived in the last second are cancelled periodically. */
  CANCELLATION_WAVES,
  /** The arrival rate triples for one second at random times. */
  BURSTS,
  /** A fast upstream leaves after an announcement. */
  UPSTREAM_LEAVES,
  /** A fast upstream crashes: its connections are reset, and new ones are refused. */
  UPSTREAM_DIES,
  /** The process of one entry VM is suspended for two seconds. */
  FROZEN_ENTRY_VM;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
