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

/** The event loop's side of one connection. After it is shut, whatever still arrives is ignored. */
final class Connection {

  /** What uses the connection. */
  interface Owner {

    /** The handshake succeeded. */
    void proven(Connection connection);

    /** A frame arrived after the handshake. */
    void received(Connection connection, Frame frame);

    /** The connection ended or was never made; called once. */
    void ended(Connection connection, String reason);
  }

  private static final EventLog LOG = new EventLog(Connection.class);

  private final TimerService timer;
  private final Owner owner;
  private final String label;
  private final AtomicLong rejections;
  private Channel channel;
  private PeerIdentity remote;
  private boolean open = true;
  private boolean refused;
  private long lastHeardNanos;

  Connection(TimerService timer, Owner owner, String label, AtomicLong rejections) {
    this.timer = timer;
    this.owner = owner;
    this.label = label;
    this.rejections = rejections;
  }

  void attach(Channel newChannel) {
    channel = newChannel;
  }

  PeerIdentity remote() {
    return remote;
  }

  boolean proven() {
    return remote != null;
  }

  boolean usable() {
    return open && remote != null && channel.isActive();
  }

  /** Returns whether the address answered that nothing listens there. */
  boolean refused() {
    return refused;
  }

  long lastHeardNanos() {
    return lastHeardNanos;
  }

  /** Counts silence from now on; for use after a pause of this process. */
  void restartSilence() {
    lastHeardNanos = timer.nanoTime();
  }

  // With the void promise a failed write reaches the pipeline, which ends the connection.
  @SuppressWarnings("FutureReturnValueIgnored")
  void send(Frame frame) {
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  void proven(PeerIdentity identity) {
    if (!open) {
      return;
    }
    remote = identity;
    lastHeardNanos = timer.nanoTime();
    LOG.write(
        LogEvent.PEER_CONNECTED,
        "connection",
        label,
        "peer",
        identity.address(),
        "incarnation",
        Long.toHexString(identity.incarnation()));
    owner.proven(this);
  }

  void received(Frame frame) {
    if (open && remote != null) {
      lastHeardNanos = timer.nanoTime();
      owner.received(this, frame);
    }
  }

  void reject(String reason) {
    if (open) {
      rejections.incrementAndGet();
      LOG.write(LogEvent.PEER_REJECTED, "connection", label, "reason", reason);
      shut(reason);
    }
  }

  void lost(String reason) {
    shut(reason);
  }

  void failed(Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() != null) {
      reject(cause.getCause().getMessage());
    } else if (cause instanceof DecoderException || cause instanceof LovagerackException) {
      reject(cause.getMessage());
    } else {
      shut(String.valueOf(cause.getMessage()));
    }
  }

  /**
   * The connection could not be made. Only a plain refusal proves that nothing listens: a time-out
   * is a {@code ConnectException} too, and a localised message counts as unreachable, which is the
   * safe side.
   */
  void connectFailed(Throwable cause) {
    refused =
        cause instanceof ConnectException
            && !(cause instanceof ConnectTimeoutException)
            && String.valueOf(cause.getMessage()).contains("Connection refused");
    shut(String.valueOf(cause.getMessage()));
  }

  void shut(String reason) {
    if (!open) {
      return;
    }
    open = false;
    if (channel != null) {
      close(channel);
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
    owner.ended(this, reason);
  }

  /** Closes a channel; what follows from it arrives as an event of the channel. */
  @SuppressWarnings("FutureReturnValueIgnored")
  static void close(Channel channel) {
    channel.close();
  }
}
