package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Guards against counting unresponsive or replaced peers and against not counting live ones. */
final class MembershipViewTest {

  private static final String UPSTREAM = "10.0.0.1:80";

  /**
   * One event: a handshake, a heartbeat or the passing of time. A heartbeat is the newest one, or a
   * late or duplicated one, of the current or an earlier incarnation.
   */
  record Step(
      Kind kind, String address, long incarnation, int delayed, PeerState state, int load) {}

  enum Kind {
    HANDSHAKE,
    HEARTBEAT,
    HEARTBEAT_OF_EARLIER_INCARNATION,
    SHORT_TIME,
    HEARTBEAT_GAP_NEAR_LIMIT
  }

  /** The expected state of a peer. */
  private static final class Expected {
    private long incarnation;
    private long earlierIncarnation;
    private long sentSequence;
    private long acceptedSequence;
    private long receivedNanos;
    private PeerState state = PeerState.SERVING;
    private int load;
  }

  private static final String CONFIGURED = "10.1.0.1:7000";

  @Tag("fuzz")
  @Property(tries = 10_000)
  void viewMatchesReceivedHeartbeatsForRandomSeeds(@ForAll("steps") List<Step> steps) {
    viewMatchesReceivedHeartbeats(steps);
  }

  @Property(seed = "4101", tries = 400)
  void viewMatchesReceivedHeartbeats(@ForAll("steps") List<Step> steps) {
    DrivenTimer timer = new DrivenTimer();
    MembershipView view = new MembershipView(timer, Set.of(CONFIGURED));
    Set<String> live = liveByEvents(view);
    Map<String, Expected> model = new HashMap<>();
    for (Step step : steps) {
      apply(step, timer, view, model);
      check(timer, view, model);
      assertThat(live).containsExactlyElementsOf(addresses(view.livePeers()));
    }
  }

  private static void apply(
      Step step, DrivenTimer timer, MembershipView view, Map<String, Expected> model) {
    Expected peer = model.get(step.address);
    switch (step.kind) {
      case HANDSHAKE -> {
        view.connected(step.address, step.incarnation);
        if (peer == null || peer.incarnation != step.incarnation) {
          Expected started = new Expected();
          started.incarnation = step.incarnation;
          started.earlierIncarnation = peer == null ? -1 : peer.incarnation;
          started.receivedNanos = timer.nanoTime();
          model.put(step.address, started);
        }
      }
      case HEARTBEAT -> {
        if (peer != null) {
          peer.sentSequence++;
          heartbeat(step, timer, view, peer);
        }
      }
      case HEARTBEAT_OF_EARLIER_INCARNATION -> {
        long incarnation = peer == null ? step.incarnation : peer.earlierIncarnation;
        view.heartbeatReceived(step.address, incarnation, 1_000_000, status(step));
      }
      case SHORT_TIME -> timer.advance(Duration.ofMillis(step.load * 100L));
      case HEARTBEAT_GAP_NEAR_LIMIT -> timer.advance(Duration.ofMillis(2_900 + step.load * 20L));
    }
  }

  private static void heartbeat(Step step, DrivenTimer timer, MembershipView view, Expected peer) {
    long sequence = Math.max(0, peer.sentSequence - step.delayed);
    view.heartbeatReceived(step.address, peer.incarnation, sequence, status(step));
    if (sequence > peer.acceptedSequence) {
      peer.acceptedSequence = sequence;
      peer.receivedNanos = timer.nanoTime();
      peer.state = step.state;
      peer.load = step.load;
    }
  }

  private static void check(DrivenTimer timer, MembershipView view, Map<String, Expected> model) {
    int inShares = 0;
    int attempts = 0;
    Duration departedAfter = MembershipView.SUSPECT_AFTER.plus(MembershipView.REMOVE_AFTER);
    model
        .entrySet()
        .removeIf(
            entry ->
                !entry.getKey().equals(CONFIGURED)
                    && timer.nanoTime() - entry.getValue().receivedNanos
                        >= departedAfter.toNanos());
    assertThat(addresses(view.peers())).containsExactlyInAnyOrderElementsOf(model.keySet());
    for (Map.Entry<String, Expected> entry : model.entrySet()) {
      Expected expected = entry.getValue();
      Peer peer = view.peer(entry.getKey()).orElseThrow();
      boolean suspect =
          timer.nanoTime() - expected.receivedNanos >= Duration.ofSeconds(3).toNanos();
      assertThat(peer.suspect()).as("suspect %s", peer).isEqualTo(suspect);
      assertThat(peer.incarnation()).isEqualTo(expected.incarnation);
      if (!suspect && (expected.state == PeerState.SERVING || expected.load > 0)) {
        inShares++;
        attempts += expected.load;
      }
    }
    assertThat(view.peersInShares()).as("peers in shares").isEqualTo(inShares);
    assertThat(view.attemptsOfPeers(UPSTREAM)).as("attempts of peers").isEqualTo(attempts);
  }

  private static Set<String> liveByEvents(MembershipView view) {
    Set<String> live = new TreeSet<>();
    view.addListener(
        new MembershipListener() {
          @Override
          public void joined(Peer peer) {
            live.add(peer.address());
          }

          @Override
          public void suspected(Peer peer) {
            live.remove(peer.address());
          }

          @Override
          public void recovered(Peer peer) {
            live.add(peer.address());
          }

          @Override
          public void replaced(Peer earlier, Peer current) {
            live.add(current.address());
          }
        });
    return live;
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Step> step =
        Combinators.combine(
                Arbitraries.of(Kind.class),
                Arbitraries.of("10.1.0.1:7000", "10.1.0.2:7000", "10.1.0.3:7000"),
                Arbitraries.longs().between(1, 3),
                Arbitraries.frequency(Tuple.of(4, 0), Tuple.of(1, 1), Tuple.of(1, 2)),
                Arbitraries.of(PeerState.class),
                Arbitraries.integers().between(0, 9))
            .as(Step::new);
    return step.list().ofMinSize(5).ofMaxSize(60);
  }

  @Test
  void removesDepartedAddressOnlyAfterSixtySecondsWithoutContact() {
    DrivenTimer timer = new DrivenTimer();
    MembershipView view = new MembershipView(timer, Set.of());
    List<String> removed = new ArrayList<>();
    view.addListener(
        new MembershipListener() {
          @Override
          public void removed(Peer peer) {
            removed.add(peer.address());
          }
        });
    view.setListedAddresses(Set.of("10.1.0.1:7000", "10.1.0.2:7000"));
    view.connected("10.1.0.1:7000", 1);
    view.connected("10.1.0.2:7000", 2);

    view.setListedAddresses(Set.of("10.1.0.2:7000"));
    timer.advance(Duration.ofMillis(62_999));
    assertThat(view.addresses()).containsExactly("10.1.0.1:7000", "10.1.0.2:7000");
    timer.advance(Duration.ofMillis(1));
    assertThat(removed).containsExactly("10.1.0.1:7000");

    view.setListedAddresses(Set.of());
    assertThat(removed).containsExactly("10.1.0.1:7000", "10.1.0.2:7000");
    assertThat(view.addresses()).isEmpty();
  }

  private static LocalStatus status(Step step) {
    return new LocalStatus(step.state, 1, 0, Map.of(UPSTREAM, step.load), 1, Set.of());
  }

  private static List<String> addresses(List<Peer> peers) {
    return peers.stream().map(Peer::address).toList();
  }
}
