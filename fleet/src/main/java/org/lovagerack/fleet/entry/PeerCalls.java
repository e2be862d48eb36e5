package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;

/** Calls to other entry VMs. */
public interface PeerCalls {

  /** Result of a probe. */
  sealed interface Liveness {}

  /**
   * The process answered.
   *
   * @param viewVersion version of its view of the fleet
   */
  record Alive(long viewVersion) implements Liveness {}

  /** The process has ended: its address refuses connections or belongs to another process. */
  record ProcessEnded() implements Liveness {}

  /** The process did not answer within the timeout. */
  record TimedOut() implements Liveness {}

  /** Checks whether a process is running. */
  void probe(String address, long incarnation, Duration timeout, Consumer<Liveness> callback);

  /** Requests a process's view of the fleet; calls back only if it answers. */
  void view(String address, long incarnation, Duration timeout, Consumer<FleetView> callback);

  /**
   * Returns the job service of the process at an address. It answers {@code OWNER_UNREACHABLE} as a
   * refusal when the call was certainly not received.
   */
  JobService jobsAt(String address, long incarnation);

  /**
   * Returns the service for jobs of other shards of the process at an address, which owns a shard.
   */
  JobHost hostAt(String address, long incarnation, int shard);
}
