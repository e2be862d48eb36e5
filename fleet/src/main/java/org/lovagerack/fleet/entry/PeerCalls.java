package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.shard.ShardLoad;

/** Calls to other entry VMs. */
public interface PeerCalls {

  /** Result of a probe. */
  sealed interface Liveness {}

  /**
   * The process answered.
   *
   * @param viewVersion version of its view of the fleet
   * @param loads loads of the shards that it owns; empty if jobs are not redirected
   */
  record Alive(long viewVersion, List<ShardLoad> loads) implements Liveness {

    public Alive {
      loads = List.copyOf(loads);
    }

    /** Creates the answer of a process that reports no loads. */
    public Alive(long viewVersion) {
      this(viewVersion, List.of());
    }
  }

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
   * Returns the service for the jobs of one shard of the process at an address. The process owns
   * the shard; it may also lead its island if only pending jobs are counted.
   */
  JobService shardJobsAt(String address, long incarnation, int shard);

  /**
   * Returns the service for jobs of other shards of the process at an address, which owns a shard.
   */
  JobHost hostAt(String address, long incarnation, int shard);
}
