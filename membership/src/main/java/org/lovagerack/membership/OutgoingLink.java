package org.lovagerack.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/**
 * The connection to one address and the calls that are sent on it; reconnects after a failure. If a
 * call expects a different incarnation than the connected one, its outcome is decided by a new
 * connection, because the process at the other end of the existing one may have been replaced
 * unnoticed.
 */
final class OutgoingLink implements Connection.Listener {

  /** Time without a frame after which a connection is replaced, if a frame is expected on it. */
  static final Duration UNRESPONSIVE_AFTER = Duration.ofSeconds(3);

  /** Time without a call after which a connection to another failure domain is closed. */
  static final Duration IDLE_AFTER = Duration.ofSeconds(60);

  /** Functions that the link needs from the network. */
  interface Network {

    Connection dial(String address, Connection.Listener listener);

    /** A connection to a new incarnation is in use. */
    void connected(OutgoingLink link, PeerIdentity peer);

    /** Returns whether connections to this failure domain are permanent. */
    boolean isOwnFailureDomain(String failureDomain);
  }

  private final TimerService timer;
  private final Network network;
  private final String address;
  private final ReconnectBackoff backoff;
  private final List<OutgoingCall> waitingCalls = new ArrayList<>();
  private final OutstandingCalls outstanding;
  private Connection connection;
  private Connection dialing;
  private long dials;
  private boolean permanent;
  private boolean closed;
  private long lastUsedNanos;
  private TimerSubscription retry = () -> {};

  OutgoingLink(TimerService timer, Network network, String address, ReconnectBackoff backoff) {
    this.timer = timer;
    this.network = network;
    this.address = address;
    this.backoff = backoff;
    this.outstanding = new OutstandingCalls(timer);
    this.lastUsedNanos = timer.nanoTime();
  }

  /**
   * Sets whether the connection stays open without calls, as for peers of the own failure domain.
   */
  void setPermanent(boolean newPermanent) {
    if (newPermanent && !permanent) {
      dialUnlessConnected();
    }
    permanent = newPermanent;
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
    waitingCalls.add(call);
    dial();
  }

  /**
   * Sends a frame if connected to a peer of the own failure domain; returns whether it was sent.
   */
  boolean sendToPeer(Frame frame) {
    boolean connectedToPeer = connected() && connectedToOwnDomain();
    if (connectedToPeer) {
      connection.send(frame);
    }
    return connectedToPeer;
  }

  /** Closes an unresponsive connection; returns whether the link is unused and can be closed. */
  boolean tick() {
    long now = timer.nanoTime();
    waitingCalls.removeIf(OutgoingCall::completed);
    boolean hasOutstandingCalls = !outstanding.isEmpty();
    if (hasOutstandingCalls || !waitingCalls.isEmpty()) {
      lastUsedNanos = now;
    }
    if (connection != null
        && inactiveNanos(now, hasOutstandingCalls) >= UNRESPONSIVE_AFTER.toNanos()) {
      connection.close("the connection is unresponsive");
    }
    return !permanent && now - lastUsedNanos >= IDLE_AFTER.toNanos();
  }

  private boolean connectedTo(long incarnation) {
    return connected() && connection.remote().incarnation() == incarnation;
  }

  private boolean connectedToOwnDomain() {
    return network.isOwnFailureDomain(connection.remote().failureDomain());
  }

  private long inactiveNanos(long now, boolean hasOutstandingCalls) {
    if (connectedToOwnDomain()) {
      return now - connection.lastReceivedNanos();
    }
    return hasOutstandingCalls
        ? now - Math.max(connection.lastReceivedNanos(), outstanding.outstandingSinceNanos())
        : 0;
  }

  /** Restarts the inactivity timer, for use after this process was paused. */
  void restartInactivityTimer() {
    if (connection != null) {
      connection.restartInactivityTimer();
    }
  }

  /** Closes the connection if it leads to an incarnation other than {@code current}. */
  void closeOtherIncarnation(long current) {
    if (connection != null && connection.remote().incarnation() != current) {
      connection.close("another incarnation connected");
    }
  }

  void close(String reason) {
    closed = true;
    retry.cancel();
    if (dialing != null) {
      dialing.close(reason);
    }
    if (connection != null) {
      connection.close(reason);
    }
    failWaitingCalls(reason);
  }

  @Override
  public void authenticated(Connection authenticated) {
    dialing = null;
    backoff.reset();
    if (connectedTo(authenticated.remote().incarnation())) {
      authenticated.close("the former connection leads to the same process");
    } else {
      Connection earlier = connection;
      connection = authenticated;
      if (earlier != null) {
        earlier.close("another incarnation answers");
        outstanding.failAll("another incarnation answers");
      }
      network.connected(this, authenticated.remote());
    }
    if (connection != null) {
      resolveWaitingCalls(connection.remote().incarnation());
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
  public void closed(Connection ended, String reason) {
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
      retry = timer.after(backoff.next(), this::dialUnlessConnected);
    }
  }

  private void dialFailed(boolean refused, String reason) {
    for (OutgoingCall call : removeWaitingCalls()) {
      if (!refused) {
        call.fail(reason);
      } else if (call.concludedBy(dials)) {
        call.complete(new CallOutcome.ConnectionRefused());
      } else {
        waitingCalls.add(call);
      }
    }
    if (!waitingCalls.isEmpty()) {
      dial();
    } else if (connection == null && dialing == null) {
      retryLater();
    }
  }

  private void resolveWaitingCalls(long incarnation) {
    for (OutgoingCall call : removeWaitingCalls()) {
      if (call.isMeantFor(incarnation) && connection != null) {
        outstanding.send(call, connection);
      } else if (call.concludedBy(dials)) {
        call.complete(new CallOutcome.WrongIncarnation(incarnation));
      } else {
        waitingCalls.add(call);
      }
    }
    if (!waitingCalls.isEmpty()) {
      dial();
    }
  }

  private List<OutgoingCall> removeWaitingCalls() {
    List<OutgoingCall> taken = waitingCalls.stream().filter(call -> !call.completed()).toList();
    waitingCalls.clear();
    return taken;
  }

  private void failWaitingCalls(String reason) {
    removeWaitingCalls().forEach(call -> call.fail(reason));
  }
}
