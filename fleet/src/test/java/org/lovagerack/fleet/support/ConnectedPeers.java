package org.lovagerack.fleet.support;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.entry.JobRouter;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.error.ErrorKind;

/** Connects routers to each other; a process that has ended refuses connections. */
public final class ConnectedPeers implements PeerCalls {

  private final Map<String, JobRouter> routers = new HashMap<>();
  private final Set<String> ended = new HashSet<>();

  /** Adds a process. */
  public void add(String address, JobRouter router) {
    routers.put(address, router);
  }

  /** Ends a process. */
  public void end(String address) {
    ended.add(address);
  }

  @Override
  public void probe(
      String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
    callback.accept(
        ended.contains(address)
            ? new ProcessEnded()
            : new Alive(routers.get(address).viewVersion("a"), routers.get(address).loads()));
  }

  @Override
  public void view(
      String address, long incarnation, Duration timeout, Consumer<FleetView> callback) {
    if (!ended.contains(address)) {
      callback.accept(routers.get(address).view("a"));
    }
  }

  @Override
  public JobService jobsAt(String address, long incarnation) {
    return ended.contains(address) ? new UnresponsiveJobService() : routers.get(address);
  }

  @Override
  public JobService shardJobsAt(String address, long incarnation, int shard) {
    return ended.contains(address)
        ? new UnresponsiveJobService()
        : routers.get(address).localShardJobs(shard).orElseGet(UnresponsiveJobService::new);
  }

  @Override
  public JobHost hostAt(String address, long incarnation, int shard) {
    return new Host(address, shard);
  }

  private final class Host implements JobHost {
    private final String address;
    private final int shard;

    Host(String address, int shard) {
      this.address = address;
      this.shard = shard;
    }

    private Optional<JobHost> reachable() {
      return ended.contains(address) ? Optional.empty() : routers.get(address).localHost(shard);
    }

    @Override
    public void submit(Submission submission, Consumer<JobAnswer> callback) {
      reachable()
          .ifPresentOrElse(host -> host.submit(submission, callback), () -> refuse(callback));
    }

    @Override
    public void abandon(Submission submission) {
      reachable().ifPresent(host -> host.abandon(submission));
    }

    @Override
    public void host(HostRequest request, Consumer<JobAnswer> callback) {
      reachable().ifPresentOrElse(host -> host.host(request, callback), () -> refuse(callback));
    }

    private static void refuse(Consumer<JobAnswer> callback) {
      callback.accept(new JobAnswer.Refused(ErrorKind.OWNER_UNREACHABLE, Duration.ofSeconds(1)));
    }
  }
}
