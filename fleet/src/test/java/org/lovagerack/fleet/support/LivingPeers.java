package org.lovagerack.fleet.support;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.JobService;

/** Other entry VMs that all answer probes and have nothing to tell. */
public class LivingPeers implements PeerCalls {

  @Override
  public void probe(
      String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
    callback.accept(new Alive(0));
  }

  @Override
  public void view(
      String address, long incarnation, Duration timeout, Consumer<FleetView> callback) {
    // Nothing is known of the fleet.
  }

  @Override
  public JobService jobsAt(String address, long incarnation) {
    throw new IllegalStateException("no job is passed on in this test");
  }
}
