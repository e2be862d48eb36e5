package org.lovagerack.fleet.support;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;

/** Peers that answer all probes and have no view of the fleet. */
public class RespondingPeers implements PeerCalls {

  @Override
  public void probe(
      String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
    callback.accept(new Alive(0));
  }

  @Override
  public void view(
      String address, long incarnation, Duration timeout, Consumer<FleetView> callback) {
    // Peers without a view do not answer.
  }

  @Override
  public JobHost hostAt(String address, long incarnation, int shard) {
    throw new IllegalStateException("this test does not transfer jobs");
  }

  @Override
  public JobService shardJobsAt(String address, long incarnation, int shard) {
    throw new IllegalStateException("this test does not redirect jobs");
  }

  @Override
  public JobService jobsAt(String address, long incarnation) {
    throw new IllegalStateException("this test does not forward jobs");
  }
}
