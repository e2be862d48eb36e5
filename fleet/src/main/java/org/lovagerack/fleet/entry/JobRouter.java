package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.shard.ShardLease;
import org.lovagerack.fleet.shard.ShardMap;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.store.TableFollower;
import org.lovagerack.foundation.timer.TimerService;

/** Passes each call to the owner of the job's shard, which may be this process. */
public final class JobRouter implements JobService {

  /** Longest wait of one call that follows the owners; bounds how long a silent one is trusted. */
  private static final Duration FOLLOW_WAIT = Duration.ofSeconds(2);

  private final TimerService timer;
  private final RandomGenerator random;
  private final PeerCalls peers;
  private final OwnedShardFactory parts;
  private final EntryVm self;
  private final TakeoverTurns turns;
  private final ShardLayout layout;
  private final StoredJobs storedJobs;

  /** Set once the number of shards is known; until then there are no seats. */
  private ShardMap map;

  private List<ShardSeat> seats = List.of();

  /** Differs between VMs, so that each first looks after another shard. */
  private List<ShardSeat> startOrder = List.of();

  private boolean retired;

  /**
   * Creates a router that does nothing until {@link #start}.
   *
   * @param parts what the owner of a shard needs; its workers are those of all shards
   * @param self this VM
   * @param cores processor that one thread of this VM can use, cores
   * @param workersPerShard workers that one owner is to order
   */
  public JobRouter(
      TimerService timer,
      RandomGenerator random,
      PeerCalls peers,
      OwnedShardFactory parts,
      EntryVm self,
      double cores,
      int workersPerShard) {
    this.timer = timer;
    this.random = random;
    this.peers = peers;
    this.parts = parts;
    this.self = self;
    this.turns = new TakeoverTurns(timer, random, cores, this::ownedShards);
    this.layout = new ShardLayout(timer, parts.store(), parts.workers(), workersPerShard);
    this.storedJobs = new StoredJobs(parts.store());
  }

  /** Finds the shards, follows their owners, and takes shards that have none. */
  public void start() {
    layout.resolve(
        shards -> {
          if (!retired) {
            begin(new ShardMap(shards));
          }
        });
  }

  private void begin(ShardMap shardMap) {
    map = shardMap;
    seats =
        IntStream.range(0, map.shards())
            .mapToObj(shard -> newSeat(parts.forShard(map, shard), shard))
            .toList();
    new TableFollower(
            timer,
            parts.store(),
            ShardRows.OWNER_TABLE,
            ShardRows.partitions(map.shards()),
            FOLLOW_WAIT,
            Duration.ZERO,
            new OwnerListener())
        .start();
    startOrder = new ArrayList<>(seats);
    Collections.shuffle(startOrder, random);
    startOrder.forEach(ShardSeat::start);
  }

  private ShardSeat newSeat(OwnedShardFactory shardParts, int shard) {
    ShardRows rows = ShardRows.of(shard);
    ShardLease lease =
        new ShardLease(
            timer,
            parts.clock(),
            parts.store(),
            rows,
            self.address(),
            self.id().incarnation(),
            shardParts);
    return new ShardSeat(
        timer, peers, lease, new IslandSeat(timer, peers, shardParts, rows, self), turns, shard);
  }

  /**
   * Returns what an entry VM that may be cut off needs to know of the shards that this process
   * owns: their workers, and the entry VMs of its failure domain.
   */
  public FleetView view(String failureDomain) {
    return new FleetView(
        viewVersion(failureDomain),
        parts.workers().directory().entries().stream()
            .filter(worker -> !seats.isEmpty() && seats.get(map.ofWorker(worker.id())).owned())
            .toList(),
        parts.contacts().entries(failureDomain));
  }

  /** Returns the version of a failure domain's view; those of different processes differ. */
  public long viewVersion(String failureDomain) {
    return self.id().incarnation()
        + parts.workers().directory().version()
        + parts.contacts().version(failureDomain)
        + seats.stream().mapToLong(ShardSeat::ownedToken).sum();
  }

  /** Gives all shards up. */
  public void retire(Runnable callback) {
    retired = true;
    if (seats.isEmpty()) {
      callback.run();
      return;
    }
    int[] left = {seats.size()};
    for (ShardSeat seat : seats) {
      seat.retire(
          () -> {
            left[0]--;
            if (left[0] == 0) {
              callback.run();
            }
          });
    }
  }

  /** Returns whether every shard has an owner that calls can be passed to. */
  public boolean ready() {
    return !seats.isEmpty() && seats.stream().allMatch(ShardSeat::reachable);
  }

  /** Returns the number of shards that this process owns. */
  public long ownedShards() {
    return seats.stream().filter(ShardSeat::owned).count();
  }

  /** Returns whether this VM is strong enough to be among the first that take a shard. */
  public boolean takesShardsEarly() {
    return turns.strong();
  }

  /** Returns the service of a job's shard if this process serves it. */
  public Optional<JobService> ownJobs(String jobId) {
    return seat(jobId).flatMap(ShardSeat::ownJobs);
  }

  /** Counts the pending jobs of a queue in the shards that this process serves. */
  public void ownPending(String queueName, Consumer<JobAnswer> callback) {
    PendingSum.ask(
        seats.stream().flatMap(seat -> seat.ownJobs().stream()).toList(), queueName, callback);
  }

  @Override
  public void submit(Submission submission, Consumer<JobAnswer> callback) {
    seat(submission.jobId())
        .ifPresentOrElse(
            seat -> new SubmissionRelay(timer, seat, submission, callback).start(),
            () -> callback.accept(OwnerFailures.NO_OWNER));
  }

  @Override
  public void abandon(Submission submission) {
    seat(submission.jobId()).ifPresent(seat -> seat.abandon(submission));
  }

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {
    if (seats.isEmpty()) {
      callback.accept(OwnerFailures.NO_OWNER);
      return;
    }
    pass(
        jobId,
        (jobs, answer) -> jobs.state(jobId, answer),
        answer -> {
          switch (answer) {
            case JobAnswer.Refused refused ->
                storedJobs.state(ShardRows.of(map.ofJob(jobId)), jobId, callback);
            case JobAnswer.Unresolved unresolved ->
                storedJobs.state(ShardRows.of(map.ofJob(jobId)), jobId, callback);
            default -> callback.accept(answer);
          }
        });
  }

  @Override
  public void cancel(String jobId, Consumer<JobAnswer> callback) {
    pass(jobId, (jobs, answer) -> jobs.cancel(jobId, answer), callback);
  }

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {
    List<JobService> owners = seats.stream().flatMap(seat -> seat.jobs().stream()).toList();
    if (seats.isEmpty() || owners.size() < seats.size()) {
      callback.accept(OwnerFailures.NO_OWNER);
    } else {
      PendingSum.ask(owners, queueName, callback);
    }
  }

  private void pass(
      String jobId,
      BiConsumer<JobService, Consumer<JobAnswer>> call,
      Consumer<JobAnswer> callback) {
    Optional<ShardSeat> seat = seat(jobId);
    Optional<JobService> jobs = seat.flatMap(ShardSeat::jobs);
    if (jobs.isEmpty()) {
      callback.accept(OwnerFailures.NO_OWNER);
      return;
    }
    call.accept(
        jobs.get(),
        answer -> {
          if (OwnerFailures.isOne(answer)) {
            seat.get().suspectOwner();
          }
          callback.accept(answer);
        });
  }

  /** Returns the seat of a job's shard; empty until the number of shards is known. */
  private Optional<ShardSeat> seat(String jobId) {
    return seats.isEmpty() ? Optional.empty() : Optional.of(seats.get(map.ofJob(jobId)));
  }

  private final class OwnerListener implements TableFollower.Listener {

    @Override
    public void changed(StoredRow row) {
      for (int shard = 0; shard < seats.size(); shard++) {
        if (row.key().partition().equals(ShardRows.of(shard).partition())) {
          seats.get(shard).ownerStored(row);
        }
      }
    }

    @Override
    public void removed(RowKey key) {
      // Nothing removes an owner's row; the lease decides in any case.
    }

    @Override
    public void loaded() {
      startOrder.forEach(ShardSeat::ownersLoaded);
    }
  }
}
