package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.NeighbourLoads;
import org.lovagerack.fleet.shard.Neighbours;
import org.lovagerack.fleet.shard.OwnedShard;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.shard.ShardLease;
import org.lovagerack.fleet.shard.ShardLoad;
import org.lovagerack.fleet.shard.ShardMap;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.store.TableFollower;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/** Forwards each call to the owner of the job's shard, which may be this process. */
public final class JobRouter implements JobService {

  /**
   * Maximum wait of one call to the feed of owner rows. Limits how long an unanswered call delays
   * the next one.
   */
  private static final Duration OWNER_FEED_WAIT = Duration.ofSeconds(2);

  private final TimerService timer;
  private final RandomGenerator random;
  private final PeerCalls peers;
  private final OwnedShardFactory shardFactory;
  private final EntryVm self;
  private final TakeoverScheduler takeovers;
  private final ShardLayout layout;
  private final DurableJobReader durableJobReader;
  private final NeighbourLoads neighbourLoads;
  private final boolean redirectsJobs;

  /** Null until the number of shards is known; until then there are no trackers. */
  private ShardMap map;

  private List<ShardOwnerTracker> trackers = List.of();

  /** In random order, so that each VM probes and takes over another shard first. */
  private List<ShardOwnerTracker> probeOrder = List.of();

  private boolean stopping;

  /**
   * Creates a router that does nothing until {@link #start}.
   *
   * @param shardFactory creates owned shards; its workers are those of all shards
   * @param self this VM
   * @param cores processor cores that one thread of this VM can use
   * @param workersPerShard number of workers for each owner to manage
   * @param redirectsJobs whether owners redirect new best-effort jobs to less loaded shards
   */
  public JobRouter(
      TimerService timer,
      RandomGenerator random,
      PeerCalls peers,
      OwnedShardFactory shardFactory,
      EntryVm self,
      double cores,
      int workersPerShard,
      boolean redirectsJobs) {
    this.timer = timer;
    this.random = random;
    this.peers = peers;
    this.shardFactory = shardFactory;
    this.self = self;
    this.takeovers = new TakeoverScheduler(timer, random, cores, this::ownedShards);
    this.layout =
        new ShardLayout(timer, shardFactory.store(), shardFactory.workers(), workersPerShard);
    this.redirectsJobs = redirectsJobs;
    this.neighbourLoads = new NeighbourLoads(timer);
    this.durableJobReader = new DurableJobReader(shardFactory.store());
  }

  /** Determines the number of shards, tracks their owners and takes over shards without one. */
  public void start() {
    layout.resolve(
        shards -> {
          if (!stopping) {
            startTrackers(new ShardMap(shards));
          }
        });
  }

  private void startTrackers(ShardMap shardMap) {
    map = shardMap;
    trackers =
        IntStream.range(0, map.shards())
            .mapToObj(
                shard ->
                    newTracker(shardFactory.forShard(map, shard, new OtherShards(shard)), shard))
            .toList();
    new TableFollower(
            timer,
            shardFactory.store(),
            ShardRows.OWNER_TABLE,
            ShardRows.partitions(map.shards()),
            OWNER_FEED_WAIT,
            Duration.ZERO,
            new OwnerListener())
        .start();
    probeOrder = new ArrayList<>(trackers);
    Collections.shuffle(probeOrder, random);
    probeOrder.forEach(ShardOwnerTracker::start);
  }

  private ShardOwnerTracker newTracker(OwnedShardFactory factory, int shard) {
    ShardRows rows = ShardRows.of(shard);
    ShardLease lease =
        new ShardLease(
            timer,
            shardFactory.clock(),
            shardFactory.store(),
            rows,
            self.address(),
            self.id().incarnation(),
            factory);
    return new ShardOwnerTracker(
        timer,
        peers,
        lease,
        new IslandController(timer, peers, factory, rows, self),
        new OwnerWorkers(timer, shardFactory.workers().directory()),
        takeovers,
        neighbourLoads,
        shard);
  }

  /**
   * Returns the information about the shards of this process that an entry VM needs while it is cut
   * off: their workers, and the entry VMs of the given failure domain.
   */
  public FleetView view(String failureDomain) {
    List<WorkerEntry> listed = new ArrayList<>();
    List<WorkerEntry> unlisted = new ArrayList<>();
    Set<Integer> complete = new HashSet<>();
    for (int shard = 0; shard < trackers.size(); shard++) {
      int index = shard;
      trackers
          .get(shard)
          .ownedShard()
          .ifPresent(
              owned -> {
                listed.addAll(owned.listedWorkers());
                unlisted.addAll(owned.unlistedWorkers());
                if (owned.knowsAllWorkers()) {
                  complete.add(index);
                }
              });
    }
    return new FleetView(
        viewVersion(failureDomain),
        listed,
        unlisted,
        complete,
        shardFactory.entryLiveness().entries(failureDomain));
  }

  /** Returns the version of a failure domain's view; it differs between processes. */
  public long viewVersion(String failureDomain) {
    return self.id().incarnation()
        + shardFactory.workers().directory().version()
        + shardFactory.entryLiveness().version(failureDomain)
        + trackers.stream()
            .flatMap(tracker -> tracker.ownedShard().stream())
            .mapToLong(shard -> shard.token() + shard.workersVersion())
            .sum();
  }

  /** Releases all shards and takes over no further ones. */
  public void releaseShards(Runnable callback) {
    stopping = true;
    if (trackers.isEmpty()) {
      callback.run();
      return;
    }
    int[] remaining = {trackers.size()};
    for (ShardOwnerTracker tracker : trackers) {
      tracker.release(
          () -> {
            remaining[0]--;
            if (remaining[0] == 0) {
              callback.run();
            }
          });
    }
  }

  /** Returns whether calls can be forwarded for every shard. */
  public boolean ready() {
    return !trackers.isEmpty() && trackers.stream().allMatch(ShardOwnerTracker::reachable);
  }

  /** Returns the number of shards that this process owns. */
  public long ownedShards() {
    return trackers.stream().filter(ShardOwnerTracker::isOwner).count();
  }

  /** Returns whether this VM has the capacity to take over shards without an additional delay. */
  public boolean isPreferredOwner() {
    return takeovers.canServeShard();
  }

  /** Returns the job service of a job's shard if this process serves the shard. */
  public Optional<JobService> localJobs(String jobId) {
    return tracker(jobId).flatMap(ShardOwnerTracker::localJobs);
  }

  /** Returns the host of jobs of other shards if this process owns a shard. */
  public Optional<JobHost> localHost(int shard) {
    return tracker(shard).flatMap(ShardOwnerTracker::ownedShard).map(OwnedShard::host);
  }

  /** Returns the job service of a shard if this process owns it. */
  public Optional<JobService> localShardJobs(int shard) {
    return tracker(shard).flatMap(ShardOwnerTracker::ownedShard).map(OwnedShard::jobs);
  }

  /** Returns the loads of the shards that this process owns. */
  public List<ShardLoad> loads() {
    List<ShardLoad> loads = new ArrayList<>();
    for (int shard = 0; shard < trackers.size(); shard++) {
      int index = shard;
      trackers.get(shard).ownedShard().ifPresent(owned -> loads.addAll(owned.loads(index)));
    }
    return loads;
  }

  /** Counts the pending jobs of a queue in a shard that this process serves. */
  public void localPending(int shard, String queueName, Consumer<JobAnswer> callback) {
    tracker(shard)
        .flatMap(ShardOwnerTracker::localJobs)
        .ifPresentOrElse(
            jobs -> jobs.pending(queueName, callback),
            () -> callback.accept(OwnerFailures.NO_OWNER));
  }

  @Override
  public void submit(Submission submission, Consumer<JobAnswer> callback) {
    tracker(submission.jobId())
        .ifPresentOrElse(
            tracker ->
                new SubmissionRelay(
                        timer, tracker, trackers::get, submission, redirectsJobs, callback)
                    .start(),
            () -> callback.accept(OwnerFailures.NO_OWNER));
  }

  @Override
  public void abandon(Submission submission) {
    tracker(submission.jobId()).ifPresent(tracker -> tracker.abandon(submission));
  }

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {
    if (trackers.isEmpty()) {
      callback.accept(OwnerFailures.NO_OWNER);
      return;
    }
    forward(
        jobId,
        (jobs, answer) -> jobs.state(jobId, answer),
        answer -> {
          switch (answer) {
            case JobAnswer.Refused refused ->
                durableJobReader.state(ShardRows.of(map.ofJob(jobId)), jobId, callback);
            case JobAnswer.Unresolved unresolved ->
                durableJobReader.state(ShardRows.of(map.ofJob(jobId)), jobId, callback);
            default -> callback.accept(answer);
          }
        });
  }

  @Override
  public void cancel(String jobId, Consumer<JobAnswer> callback) {
    forward(jobId, (jobs, answer) -> jobs.cancel(jobId, answer), callback);
  }

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {
    if (trackers.isEmpty()) {
      callback.accept(OwnerFailures.NO_OWNER);
    } else {
      PendingJobCounter.count(trackers, queueName, callback);
    }
  }

  private void forward(
      String jobId,
      BiConsumer<JobService, Consumer<JobAnswer>> call,
      Consumer<JobAnswer> callback) {
    Optional<ShardOwnerTracker> tracker = tracker(jobId);
    Optional<JobService> jobs = tracker.flatMap(ShardOwnerTracker::jobs);
    if (jobs.isEmpty()) {
      callback.accept(OwnerFailures.NO_OWNER);
      return;
    }
    call.accept(
        jobs.get(),
        answer -> {
          if (OwnerFailures.isOwnerFailure(answer)) {
            tracker.get().suspectOwner();
          }
          if (answer instanceof JobAnswer.Redirected redirected) {
            trackers
                .get(redirected.shard())
                .shardJobs()
                .ifPresentOrElse(
                    other -> call.accept(other, callback),
                    () -> callback.accept(OwnerFailures.NO_OWNER));
          } else {
            callback.accept(answer);
          }
        });
  }

  /** Returns the tracker of a shard; empty if there is no such shard. */
  private Optional<ShardOwnerTracker> tracker(int shard) {
    return shard >= 0 && shard < trackers.size()
        ? Optional.of(trackers.get(shard))
        : Optional.empty();
  }

  /** Returns the tracker of a job's shard; empty until the number of shards is known. */
  private Optional<ShardOwnerTracker> tracker(String jobId) {
    return trackers.isEmpty() ? Optional.empty() : Optional.of(trackers.get(map.ofJob(jobId)));
  }

  private final class OtherShards implements Neighbours {
    private final int shard;

    OtherShards(int shard) {
      this.shard = shard;
    }

    @Override
    public boolean isHome(String jobId) {
      return map.ofJob(jobId) == shard;
    }

    @Override
    public OptionalInt otherShardOf(WorkerId worker) {
      int other = map.ofWorker(worker);
      return other == shard ? OptionalInt.empty() : OptionalInt.of(other);
    }

    @Override
    public Optional<JobHost> host(int other) {
      return trackers.get(other).host();
    }

    @Override
    public List<ShardLoad> loads(String service) {
      if (!redirectsJobs) {
        return List.of();
      }
      List<ShardLoad> loads = new ArrayList<>();
      for (int other = 0; other < trackers.size(); other++) {
        int index = other;
        if (other != shard) {
          trackers
              .get(other)
              .ownedShard()
              .ifPresent(owned -> neighbourLoads.record(index, owned.loads(index)));
        }
      }
      for (ShardLoad load : neighbourLoads.of(service)) {
        if (load.shard() != shard && trackers.get(load.shard()).acceptsRedirectedJobs()) {
          loads.add(load);
        }
      }
      return loads;
    }

    @Override
    public void redirected(int other, String service, int tasks) {
      neighbourLoads.redirected(other, service, tasks);
    }
  }

  private final class OwnerListener implements TableFollower.Listener {

    @Override
    public void changed(StoredRow row) {
      for (int shard = 0; shard < trackers.size(); shard++) {
        if (row.key().partition().equals(ShardRows.of(shard).partition())) {
          trackers.get(shard).ownerRowChanged(row);
        }
      }
    }

    @Override
    public void removed(RowKey key) {
      // Owner rows are never removed. Ownership is decided by the lease in any case.
    }

    @Override
    public void loaded() {
      probeOrder.forEach(ShardOwnerTracker::ownersLoaded);
    }
  }
}
