package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Entry VMs of one failure domain that exchange heartbeats over loopback in simulated time. */
final class PeerExchange implements AutoCloseable {

  private static final Duration STEP = Duration.ofMillis(20);
  private static final int WARM_UP_SECONDS = 4;

  /** Real time to let the frames of a step arrive. */
  private static final long REAL_MILLIS_PER_STEP = 3;

  /**
   * Maximum simulated time without a frame from a peer. On a busy machine frames arrive later;
   * simulated time then stops before a peer becomes suspect.
   */
  private static final Duration MAX_RECEIVE_GAP = Duration.ofMillis(1_500);

  private static final int STEPS_PER_CHECK = 25;
  private static final int MAX_FRAME_WAITS = 10_000;
  private static final int MAX_CONNECT_STEPS = 5_000;

  private final DrivenTimer timer = new DrivenTimer();
  private final List<PeerNode> nodes = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final ExecutorService loop;

  /** Cost per entry VM. */
  record Result(
      double processorMicrosPerSecond,
      double bytesPerSecond,
      double packetsPerSecond,
      double reportsPerPeerAndSecond,
      double connectBytes) {}

  PeerExchange() {
    loop =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "decisions");
              threads.add(thread);
              return thread;
            });
  }

  Result run(int count, int upstreams, int seconds) throws Exception {
    connect(count, upstreams);
    double connectBytes = bytes();
    advance(WARM_UP_SECONDS);
    long nanosBefore = ProcessorTime.of(threads);
    long bytesBefore = bytes();
    long packetsBefore = packets();
    long reportsBefore = reports();
    advance(seconds);
    long nanos = ProcessorTime.of(threads) - nanosBefore;
    requireAllLive();
    double nodeSeconds = (double) seconds * count;
    // Every byte is sent by one entry VM and received by another.
    return new Result(
        nanos / 1e3 / nodeSeconds,
        2 * (bytes() - bytesBefore) / nodeSeconds,
        2 * (packets() - packetsBefore) / nodeSeconds,
        (reports() - reportsBefore) / nodeSeconds / (count - 1),
        2 * connectBytes / count);
  }

  private void connect(int count, int upstreams) throws Exception {
    Set<Thread> existingThreads = new HashSet<>(Thread.getAllStackTraces().keySet());
    for (int number = 1; number <= count; number++) {
      CountingRelay relay = new CountingRelay();
      PeerNode node = new PeerNode(timer, loop, relay, number, count, upstreams, addresses());
      nodes.add(node);
      callOnLoop(node::start).get();
    }
    for (int steps = 0; !allLive(); steps++) {
      if (steps == MAX_CONNECT_STEPS) {
        throw new IllegalStateException(count + " entry VMs are not fully connected");
      }
      step();
    }
    Thread.getAllStackTraces().keySet().stream()
        .filter(
            thread ->
                !existingThreads.contains(thread) && thread.getName().contains("EventLoopGroup"))
        .forEach(threads::add);
  }

  private Set<String> addresses() {
    Set<String> addresses = new HashSet<>();
    nodes.forEach(node -> addresses.add(node.relay.address()));
    return addresses;
  }

  private void advance(int seconds) throws Exception {
    long steps = Duration.ofSeconds(seconds).dividedBy(STEP);
    for (long i = 0; i < steps; i++) {
      step();
      if (i % STEPS_PER_CHECK == 0) {
        awaitFrames();
      }
    }
  }

  private void awaitFrames() throws Exception {
    long sinceNanos = timer.nanoTime() - MAX_RECEIVE_GAP.toNanos();
    for (int i = 0;
        !callOnLoop(() -> nodes.stream().allMatch(n -> n.receivedFromAllSince(sinceNanos)));
        i++) {
      if (i == MAX_FRAME_WAITS) {
        throw new IllegalStateException("frames were not delivered");
      }
      Thread.sleep(REAL_MILLIS_PER_STEP);
    }
  }

  private void step() throws Exception {
    callOnLoop(
        () -> {
          nodes.forEach(node -> node.network.statusChanged());
          timer.advance(STEP);
          return true;
        });
    Thread.sleep(REAL_MILLIS_PER_STEP);
  }

  private boolean allLive() throws Exception {
    return callOnLoop(() -> nodes.stream().allMatch(node -> node.livePeers() == nodes.size() - 1));
  }

  private void requireAllLive() throws Exception {
    if (!allLive()) {
      throw new IllegalStateException("an entry VM lost a peer during the measurement");
    }
  }

  private long bytes() {
    return nodes.stream().mapToLong(node -> node.relay.bytes()).sum();
  }

  private long packets() {
    return nodes.stream().mapToLong(node -> node.relay.chunks()).sum();
  }

  private long reports() throws Exception {
    return callOnLoop(() -> nodes.stream().mapToLong(PeerNode::loadsReceived).sum());
  }

  private <T> T callOnLoop(Callable<T> action) throws Exception {
    return loop.submit(action).get();
  }

  @Override
  public void close() throws Exception {
    for (PeerNode node : nodes) {
      callOnLoop(node.network::close).get();
      node.relay.close();
    }
    loop.shutdown();
  }
}
