package org.lovagerack.membership;

import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.DecoderException;
import java.net.ConnectException;
import java.util.concurrent.atomic.AtomicLong;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** A connection as seen by the event loop. Events that arrive after it is closed are ignored. */
final class Connection {

  /** Receives the events of a connection. */
  interface Listener {

    /** The handshake succeeded and the peer is authenticated. */
    void authenticated(Connection connection);

    /** A frame arrived after the handshake. */
    void received(Connection connection, Frame frame);

    /** The connection was closed or could not be established; called once. */
    void closed(Connection connection, String reason);
  }

  private static final EventLog LOG = new EventLog(Connection.class);

  private final TimerService timer;
  private final Listener listener;
  private final String label;
  private final AtomicLong rejections;
  private Channel channel;
  private PeerIdentity remote;
  private boolean open = true;
  private boolean refused;
  private long lastReceivedNanos;

  Connection(TimerService timer, Listener listener, String label, AtomicLong rejections) {
    this.timer = timer;
    this.listener = listener;
    this.label = label;
    this.rejections = rejections;
  }

  void attach(Channel newChannel) {
    channel = newChannel;
  }

  PeerIdentity remote() {
    return remote;
  }

  boolean authenticated() {
    return remote != null;
  }

  boolean usable() {
    return open && remote != null && channel.isActive();
  }

  /** Returns whether the connection attempt was refused because nothing listens at the address. */
  boolean refused() {
    return refused;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Restarts the inactivity timer, for use after this process was paused. */
  void restartInactivityTimer() {
    lastReceivedNanos = timer.nanoTime();
  }

  // With the void promise a failed write is reported to the pipeline, which closes the connection.
  @SuppressWarnings("FutureReturnValueIgnored")
  void send(Frame frame) {
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  void authenticated(PeerIdentity identity) {
    if (!open) {
      return;
    }
    remote = identity;
    lastReceivedNanos = timer.nanoTime();
    LOG.write(
        LogEvent.PEER_CONNECTED,
        "connection",
        label,
        "peer",
        identity.address(),
        "incarnation",
        Long.toHexString(identity.incarnation()));
    listener.authenticated(this);
  }

  void received(Frame frame) {
    if (open && remote != null) {
      lastReceivedNanos = timer.nanoTime();
      listener.received(this, frame);
    }
  }

  void reject(String reason) {
    if (open) {
      rejections.incrementAndGet();
      LOG.write(LogEvent.PEER_REJECTED, "connection", label, "reason", reason);
      close(reason);
    }
  }

  void onDisconnected(String reason) {
    close(reason);
  }

  void onException(Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() != null) {
      reject(cause.getCause().getMessage());
    } else if (cause instanceof DecoderException || cause instanceof LovagerackException) {
      reject(cause.getMessage());
    } else {
      close(String.valueOf(cause.getMessage()));
    }
  }

  /**
   * Handles a failed connection attempt. Only a plain refusal proves that nothing listens at the
   * address. A timeout is a {@code ConnectException} too. A localized message counts as
   * unreachable, which is the safe assumption.
   */
  void onConnectFailed(Throwable cause) {
    refused =
        cause instanceof ConnectException
            && !(cause instanceof ConnectTimeoutException)
            && String.valueOf(cause.getMessage()).contains("Connection refused");
    close(String.valueOf(cause.getMessage()));
  }

  void close(String reason) {
    if (!open) {
      return;
    }
    open = false;
    if (channel != null) {
      closeChannel(channel);
    }
    if (remote != null) {
      LOG.write(
          LogEvent.PEER_DISCONNECTED,
          "connection",
          label,
          "peer",
          remote.address(),
          "reason",
          reason);
    }
    listener.closed(this, reason);
  }

  /** Closes a channel. The result is reported as an event of the channel. */
  @SuppressWarnings("FutureReturnValueIgnored")
  static void closeChannel(Channel channel) {
    channel.close();
  }
}
