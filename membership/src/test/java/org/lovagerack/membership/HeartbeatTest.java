package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** Guards against load updates that differ from the sender's load or exceed the traffic limit. */
final class HeartbeatTest {

  private static final int LIMIT_BYTES = 1 << 20;

  private final DrivenTimer timer = new DrivenTimer();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final List<Frame> sent = new ArrayList<>();
  private int peers = 1;
  private Set<String> leaving = Set.of();

  private HeartbeatSender sender() {
    return new HeartbeatSender(
        timer,
        () -> new LocalStatus(PeerState.SERVING, 1, 0, inFlight, 1, leaving),
        PeerNetworkSettings.DEFAULT_LOAD_BYTES_PER_SECOND,
        frame -> {
          sent.add(frame);
          return peers;
        });
  }

  @Property(seed = "4102", tries = 60)
  void receiversRebuildTheLoadWheneverTheyConnect(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int upstreams) throws Exception {
    Random random = new Random(seed);
    HeartbeatSender sender = sender();
    sender.start();
    List<HeartbeatReader> readers = new ArrayList<>();
    List<LocalStatus> seen = new ArrayList<>();
    for (int round = 0; round < 30; round++) {
      HeartbeatReader added = new HeartbeatReader(LIMIT_BYTES);
      added.read(sender.snapshot().getHeartbeat());
      readers.add(added);
      for (int change = random.nextInt(20); change > 0; change--) {
        inFlight.put(address(random.nextInt(upstreams)), random.nextInt(4));
      }
      leaving = Set.of(address(random.nextInt(3)));
      sent.clear();
      sender.statusChanged();
      timer.advance(Duration.ofSeconds(1));
      seen.clear();
      for (HeartbeatReader reader : readers) {
        LocalStatus status = LocalStatus.initial();
        for (Frame frame : sent) {
          status = reader.read(frame.getHeartbeat());
        }
        seen.add(status);
      }
      Map<String, Integer> expected = new HashMap<>(inFlight);
      expected.values().removeIf(count -> count == 0);
      assertThat(seen).allSatisfy(status -> assertThat(status.inFlight()).isEqualTo(expected));
      assertThat(seen)
          .allSatisfy(status -> assertThat(status.leavingUpstreams()).isEqualTo(leaving));
    }
    sender.stop();
  }

  /**
   * The load is 70 %, every upstream has 8 slots and tasks take 100 ms. Control traffic of a node
   * is limited to 16,000 bytes/s. This includes updates sent, as many received, and keep-alive
   * frames.
   */
  @ParameterizedTest
  @CsvSource({"8, 100, 160", "8, 750, 370", "16, 100, 320", "16, 750, 700", "12, 750, 540"})
  void controlTrafficStaysUnderTheLimit(int nodes, int upstreams, int maxIntervalMillis) {
    Random random = new Random(4103);
    peers = nodes - 1;
    List<String> running = new ArrayList<>();
    int target = upstreams * 8 * 7 / 10 / nodes;
    HeartbeatSender sender = sender();
    sender.start();
    Duration step = Duration.ofMillis(1);
    Duration warmUp = Duration.ofSeconds(20);
    Duration measured = Duration.ofSeconds(30);
    for (long time = 0; time < warmUp.plus(measured).toMillis(); time++) {
      if (time == warmUp.toMillis()) {
        sent.clear();
      }
      int finishing = (int) Math.round(target / 100.0 + random.nextGaussian());
      for (int task = 0; task < finishing && !running.isEmpty(); task++) {
        String upstream = running.remove(random.nextInt(running.size()));
        inFlight.merge(upstream, -1, Integer::sum);
      }
      while (running.size() < target) {
        String upstream = address(random.nextInt(upstreams));
        running.add(upstream);
        inFlight.merge(upstream, 1, Integer::sum);
      }
      sender.statusChanged();
      timer.advance(step);
    }
    long seconds = measured.toSeconds();
    int header = HeartbeatSender.HEADER_BYTES;
    long payload = sent.stream().mapToLong(FrameEncoder::encodedSize).sum() * peers / seconds;
    long packets = (long) sent.size() * peers / seconds;
    long keepAlive = (long) peers * (3 + header);
    long bothDirections = 2 * (payload + packets * header + keepAlive);
    long intervalMillis = measured.toMillis() / sent.size();
    assertThat(bothDirections)
        .as("bytes/s, of which payload sent %d, mean interval %d ms", payload, intervalMillis)
        .isLessThanOrEqualTo(16_000);
    assertThat(intervalMillis).as("mean interval").isLessThanOrEqualTo(maxIntervalMillis);
  }

  private static String address(int number) {
    return "10.2." + number / 200 + "." + number % 200 + ":8080";
  }
}
