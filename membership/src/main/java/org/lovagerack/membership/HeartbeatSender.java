package org.lovagerack.membership;

import java.time.Duration;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.Heartbeat;
import org.lovagerack.membership.generated.PeerProtocol.LeavingUpstreams;

/**
 * Sends a heartbeat every second, and updates in between as often as the traffic limit allows. The
 * pause after an update grows with its size and with the number of peers.
 */
final class HeartbeatSender {

  static final Duration PERIOD = Duration.ofSeconds(1);
  static final Duration MIN_UPDATE_INTERVAL = Duration.ofMillis(20);

  /** Peers drop loads older than 3 s, so an update is sent earlier regardless of its cost. */
  static final Duration MAX_UPDATE_INTERVAL = Duration.ofSeconds(2);

  /** Size of the TCP and IP headers of a packet with the timestamp option. */
  static final int HEADER_BYTES = 52;

  private final TimerService timer;
  private final Supplier<LocalStatus> status;
  private final int bytesPerSecond;
  private final ToIntFunction<Frame> broadcast;
  private final LoadWriter loads = new LoadWriter();
  private Set<String> leaving = Set.of();
  private long sequence;
  private long nextUpdateNanos;
  private boolean updateScheduled;
  private TimerSubscription heartbeat = () -> {};
  private boolean stopped;

  /**
   * @param status returns the current status of this entry VM
   * @param bytesPerSecond traffic limit for updates to all peers together, including headers
   * @param broadcast sends a frame to all peers and returns their number
   */
  HeartbeatSender(
      TimerService timer,
      Supplier<LocalStatus> status,
      int bytesPerSecond,
      ToIntFunction<Frame> broadcast) {
    this.timer = timer;
    this.status = status;
    this.bytesPerSecond = bytesPerSecond;
    this.broadcast = broadcast;
  }

  void start() {
    nextUpdateNanos = timer.nanoTime();
    scheduleHeartbeat();
  }

  void stop() {
    stopped = true;
    heartbeat.cancel();
  }

  void statusChanged() {
    if (updateScheduled || stopped) {
      return;
    }
    updateScheduled = true;
    Duration wait = Duration.ofNanos(Math.max(0, nextUpdateNanos - timer.nanoTime()));
    timer.after(
        wait,
        () -> {
          updateScheduled = false;
          if (!stopped) {
            send();
          }
        });
  }

  /** Returns the first heartbeat for a new connection, which carries the complete state. */
  Frame snapshot() {
    Heartbeat.Builder message = header(status.get()).setLeaving(leavingMessage());
    loads.snapshot().addTo(message);
    return frame(message);
  }

  private void scheduleHeartbeat() {
    heartbeat.cancel();
    heartbeat = timer.after(PERIOD, this::send);
  }

  private void send() {
    LocalStatus current = status.get();
    Heartbeat.Builder message = header(current);
    boolean updateAllowed = nextUpdateNanos - timer.nanoTime() <= 0;
    if (updateAllowed) {
      addChanges(message, current);
    }
    Frame frame = frame(message);
    int peers = broadcast.applyAsInt(frame);
    if (updateAllowed) {
      nextUpdateNanos = timer.nanoTime() + intervalNanos(frame, peers);
    }
    scheduleHeartbeat();
  }

  private long intervalNanos(Frame frame, int peers) {
    long cost = (long) peers * (FrameEncoder.encodedSize(frame) + HEADER_BYTES);
    long nanos = cost * Duration.ofSeconds(1).toNanos() / bytesPerSecond;
    return Math.clamp(nanos, MIN_UPDATE_INTERVAL.toNanos(), MAX_UPDATE_INTERVAL.toNanos());
  }

  private void addChanges(Heartbeat.Builder message, LocalStatus current) {
    loads.update(current.inFlight()).ifPresent(update -> update.addTo(message));
    if (!leaving.equals(current.leavingUpstreams())) {
      leaving = current.leavingUpstreams();
      message.setLeaving(leavingMessage());
    }
  }

  private LeavingUpstreams leavingMessage() {
    return LeavingUpstreams.newBuilder().addAllUpstreams(leaving).build();
  }

  private Heartbeat.Builder header(LocalStatus current) {
    return Heartbeat.newBuilder()
        .setSequence(++sequence)
        .setState(
            current.state() == PeerState.SERVING
                ? Heartbeat.State.SERVING
                : Heartbeat.State.DRAINING)
        .setRevision(current.revision())
        .setQueuedTasks(current.queuedTasks())
        .setVmListVersion(current.vmListVersion());
  }

  private static Frame frame(Heartbeat.Builder message) {
    return Frame.newBuilder().setHeartbeat(message).build();
  }
}
