package org.lovagerack.daemon.vmlist;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.platform.PlatformException;
import org.lovagerack.platform.VmEntry;
import org.lovagerack.platform.VmSnapshot;

/** Guards against an outdated list that marks a leaving upstream as live again. */
final class VmListFollowerTest {

  private static final String UPSTREAM = "127.0.0.1:6001";

  private final DrivenTimer timer = new DrivenTimer();
  private final List<String> events = new ArrayList<>();
  private CompletableFuture<VmSnapshot> answer;
  private VmListFollower follower;

  @BeforeEach
  void start() {
    publish(1, VmEntry.State.LIVE);
    follower =
        new VmListFollower(
            timer,
            RandomGeneratorFactory.of("L64X128MixRandom").create(7),
            () -> answer,
            "nordvik-1");
    follower.addListener(new RecordingListener());
    follower.start();
  }

  @Test
  void leavingUpstreamIsReportedOnce() {
    publish(2, VmEntry.State.LEAVING);
    pollTwice();

    assertThat(events).containsExactly("leaving " + UPSTREAM);
  }

  @Test
  void olderListIsIgnored() {
    publish(2, VmEntry.State.LEAVING);
    pollTwice();
    publish(1, VmEntry.State.LIVE);
    pollTwice();

    assertThat(follower.leaving()).containsExactly(UPSTREAM);
  }

  @Test
  void upstreamThatDisappearsFromTheListStaysLeaving() {
    publish(2, VmEntry.State.LEAVING);
    pollTwice();
    answer = CompletableFuture.completedFuture(new VmSnapshot(3, List.of()));
    pollTwice();

    assertThat(follower.leaving()).containsExactly(UPSTREAM);
  }

  @Test
  void newerListShowsUpstreamLiveAgain() {
    publish(2, VmEntry.State.LEAVING);
    pollTwice();
    publish(3, VmEntry.State.LIVE);
    pollTwice();

    assertThat(events).containsExactly("leaving " + UPSTREAM, "live " + UPSTREAM);
  }

  @Test
  void newerListOfPeerAppliesDuringPlatformOutage() {
    answer =
        CompletableFuture.failedFuture(
            new PlatformException(PlatformException.Effect.NOT_APPLIED, "down"));
    pollTwice();
    follower.updateFromPeer(5, Set.of(UPSTREAM));
    follower.updateFromPeer(4, Set.of());

    assertThat(events).containsExactly("leaving " + UPSTREAM);
    assertThat(follower.version()).isEqualTo(5);
  }

  @Test
  void withdrawnUpstreamIsRemoved() {
    publish(2, VmEntry.State.LEAVING);
    pollTwice();
    follower.retainDeployed(Set.of());

    assertThat(follower.leaving()).isEmpty();
  }

  private void publish(long version, VmEntry.State state) {
    answer =
        CompletableFuture.completedFuture(
            new VmSnapshot(
                version,
                List.of(new VmEntry(UPSTREAM, "nordvik-1", VmEntry.Role.UPSTREAM, state))));
  }

  private void pollTwice() {
    timer.advance(Duration.ofSeconds(5));
  }

  private final class RecordingListener implements VmListListener {

    @Override
    public void entryVmsListed(Set<String> peers, Set<String> others) {}

    @Override
    public void upstreamLeaving(String upstream) {
      events.add("leaving " + upstream);
    }

    @Override
    public void upstreamLive(String upstream) {
      events.add("live " + upstream);
    }
  }
}
