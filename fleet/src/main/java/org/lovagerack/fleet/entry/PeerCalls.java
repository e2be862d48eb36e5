package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobService;

/** Calls to other entry VMs. */
public interface PeerCalls {

  /** What a probe tells about a process. */
  enum Liveness {
    /** The process answered. */
    ALIVE,
    /** Nothing listens at its address, or another process does. */
    GONE,
    /** There was no answer in time. */
    SILENT
  }

  /** Asks whether a process is alive. */
  void probe(String address, long incarnation, Duration timeout, Consumer<Liveness> callback);

  /**
   * Returns the job service of the process at an address. It answers {@code OWNER_UNREACHABLE} as a
   * refusal when the call was certainly not received.
   */
  JobService jobsAt(String address, long incarnation);
}
