package org.lovagerack.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/**
 * The connection to one address, made again when it breaks, and the calls that go through it. A
 * call that does not fit the connected incarnation is decided by a connection made after the call,
 * because the process at the other end of an older one may have been replaced unnoticed.
 */
final class OutgoingLink implements Connection.Owner {

  /** Time without a frame after which a connection on which something is due is replaced. */
  static final Duration SILENT_AFTER = Duration.ofSeconds(3);

  /** Time without a call after which a connection to another failure domain is closed. */
  static final Duration IDLE_AFTER = Duration.ofSeconds(60);

  /** What the link needs from the network. */
  interface Network {

    Connection dial(String address, Connection.Owner owner);

    /** A connection to another incarnation than before is in use. */
    void connected(OutgoingLink link, PeerIdentity peer);

    /** Whether peers of this failure domain are connected to permanently. */
    boolean isOwnFailureDomain(String failureDomain);
  }

  private final TimerService timer;
  private final Network network;
  private final String address;
  private final RetryDelay retryDelay;
  private final List<OutgoingCall> waiting = new ArrayList<>();
  private final OutstandingCalls outstanding;
  private Connection connection;
  private Connection dialing;
  private long dials;
  private boolean permanent;
  private boolean closed;
  private long lastUsedNanos;
  private TimerSubscription retry = () -> {};

  OutgoingLink(TimerService timer, Network network, String address, RetryDelay retryDelay) {
    this.timer = timer;
    this.network = network;
    this.address = address;
    this.retryDelay = retryDelay;
    this.outstanding = new OutstandingCalls(timer);
    this.lastUsedNanos = timer.nanoTime();
  }

  /** Sets whether to keep the connection open, as for the peers of the own failure domain. */
  void keepConnected(boolean keep) {
    if (keep && !permanent) {
      dialUnlessConnected();
    }
    permanent = keep;
  }

  boolean connected() {
    return connection != null && connection.usable();
  }

  void call(OutgoingCall call) {
    lastUsedNanos = timer.nanoTime();
    if (connected() && call.isMeantFor(connection.remote().incarnation())) {
      outstanding.send(call, connection);
      return;
    }
    call.conclusiveFrom(dials + 1);
    waiting.add(call);
    dial();
  }

  /** Sends a frame if the connection to a peer of the own failure domain is up. */
  boolean sendToPeer(Frame frame) {
    boolean connectedToPeer = connected() && leadsToOwnDomain();
    if (connectedToPeer) {
      connection.send(frame);
    }
    return connectedToPeer;
  }

  /** Closes a silent or idle connection; returns whether the link is of no use any more. */
  boolean tick() {
    long now = timer.nanoTime();
    waiting.removeIf(OutgoingCall::completed);
    boolean calls = !outstanding.isEmpty();
    if (calls || !waiting.isEmpty()) {
      lastUsedNanos = now;
    }
    if (connection != null && silentSince(now, calls) >= SILENT_AFTER.toNanos()) {
      connection.shut("the connection is silent");
    }
    return !permanent && now - lastUsedNanos >= IDLE_AFTER.toNanos();
  }

  private boolean leadsTo(long incarnation) {
    return connected() && connection.remote().incarnation() == incarnation;
  }

  private boolean leadsToOwnDomain() {
    return network.isOwnFailureDomain(connection.remote().failureDomain());
  }

  private long silentSince(long now, boolean calls) {
    if (leadsToOwnDomain()) {
      return now - connection.lastHeardNanos();
    }
    return calls ? now - Math.max(connection.lastHeardNanos(), outstanding.waitingSinceNanos()) : 0;
  }

  /** Counts silence from now on; for use after a pause of this process. */
  void restartSilence() {
    if (connection != null) {
      connection.restartSilence();
    }
  }

  /** Another incarnation than {@code current} at this address is replaced. */
  void replaceOther(long current) {
    if (connection != null && connection.remote().incarnation() != current) {
      connection.shut("another incarnation connected");
    }
  }

  void close(String reason) {
    closed = true;
    retry.cancel();
    if (dialing != null) {
      dialing.shut(reason);
    }
    if (connection != null) {
      connection.shut(reason);
    }
    failWaiting(reason);
  }

  @Override
  public void proven(Connection made) {
    dialing = null;
    retryDelay.reset();
    if (leadsTo(made.remote().incarnation())) {
      made.shut("the earlier connection leads to the same process");
    } else {
      Connection earlier = connection;
      connection = made;
      if (earlier != null) {
        earlier.shut("another incarnation answers");
        outstanding.failAll("another incarnation answers");
      }
      network.connected(this, made.remote());
    }
    if (connection != null) {
      decideWaiting(connection.remote().incarnation());
    }
  }

  @Override
  public void received(Connection source, Frame frame) {
    switch (frame.getMessageCase()) {
      case CALL_RESPONSE -> {
        if (source == connection) {
          outstanding.answered(frame.getCallResponse());
        }
      }
      case KEEP_ALIVE -> {}
      default -> source.reject(frame.getMessageCase() + " is not allowed in this direction");
    }
  }

  @Override
  public void ended(Connection ended, String reason) {
    if (ended == dialing) {
      dialing = null;
      dialFailed(ended.refused(), reason);
    } else if (ended == connection) {
      connection = null;
      outstanding.failAll(reason);
      retryLater();
    }
  }

  private void dial() {
    retry.cancel();
    if (dialing == null && !closed) {
      dials++;
      dialing = network.dial(address, this);
    }
  }

  private void dialUnlessConnected() {
    if (connection == null) {
      dial();
    }
  }

  private void retryLater() {
    retry.cancel();
    if (permanent && !closed) {
      retry = timer.after(retryDelay.next(), this::dialUnlessConnected);
    }
  }

  private void dialFailed(boolean refused, String reason) {
    for (OutgoingCall call : takeWaiting()) {
      if (!refused) {
        call.fail(reason);
      } else if (call.concludedBy(dials)) {
        call.complete(new CallOutcome.ConnectionRefused());
      } else {
        waiting.add(call);
      }
    }
    if (!waiting.isEmpty()) {
      dial();
    } else if (connection == null && dialing == null) {
      retryLater();
    }
  }

  private void decideWaiting(long incarnation) {
    for (OutgoingCall call : takeWaiting()) {
      if (call.isMeantFor(incarnation) && connection != null) {
        outstanding.send(call, connection);
      } else if (call.concludedBy(dials)) {
        call.complete(new CallOutcome.WrongIncarnation(incarnation));
      } else {
        waiting.add(call);
      }
    }
    if (!waiting.isEmpty()) {
      dial();
    }
  }

  private List<OutgoingCall> takeWaiting() {
    List<OutgoingCall> taken = waiting.stream().filter(call -> !call.completed()).toList();
    waiting.clear();
    return taken;
  }

  private void failWaiting(String reason) {
    takeWaiting().forEach(call -> call.fail(reason));
  }
}
