package org.lovagerack.fleet.shard;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.worker.WorkerId;

/** What the owner of a shard knows about the other shards. */
public interface Neighbours {

  /** There is no other shard that could be reached. */
  Neighbours NONE =
      new Neighbours() {
        @Override
        public boolean isHome(String jobId) {
          return true;
        }

        @Override
        public OptionalInt otherShardOf(WorkerId worker) {
          return OptionalInt.empty();
        }

        @Override
        public Optional<JobHost> host(int shard) {
          return Optional.empty();
        }

        @Override
        public List<ShardLoad> loads(String service) {
          return List.of();
        }

        @Override
        public void redirected(int shard, String service, int tasks) {}
      };

  /** Returns whether the shard accepts the job from entry VMs and answers its callers. */
  boolean isHome(String jobId);

  /** Returns the shard of a worker; empty if it belongs to the shard itself. */
  OptionalInt otherShardOf(WorkerId worker);

  /** Returns the owner of another shard; empty while there is none. */
  Optional<JobHost> host(int shard);

  /**
   * Returns the recent loads of a service in the shards to which jobs may be redirected; empty if
   * jobs are not redirected.
   */
  List<ShardLoad> loads(String service);

  /** Records that tasks of a job were redirected to another shard. */
  void redirected(int shard, String service, int tasks);
}
