package org.lovagerack.membership;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.CallResponse;
import org.lovagerack.membership.generated.PeerProtocol.Frame;
import org.lovagerack.membership.generated.PeerProtocol.Heartbeat;
import org.lovagerack.membership.generated.PeerProtocol.KeepAlive;
import org.lovagerack.membership.generated.PeerProtocol.NotePush;

/** The accepted connections, on which peers send heartbeats, notes and calls. */
final class IncomingConnections implements Connection.Listener {

  /** Must exceed the 60 s after which the dialer closes an idle connection. */
  private static final Duration ABANDONED_AFTER = Duration.ofSeconds(90);

  private static final Frame KEEP_ALIVE =
      Frame.newBuilder().setKeepAlive(KeepAlive.getDefaultInstance()).build();
  private static final EventLog LOG = new EventLog(IncomingConnections.class);

  private final TimerService timer;
  private final PeerNetworkSettings settings;
  private final MembershipView view;
  private final PeerMessageHandler handler;
  private final Consumer<PeerIdentity> onAuthenticated;
  private final Map<Connection, Session> sessions = new LinkedHashMap<>();

  /**
   * @param onAuthenticated runs when a peer is authenticated, after connections of other
   *     incarnations are closed
   */
  IncomingConnections(
      TimerService timer,
      PeerNetworkSettings settings,
      MembershipView view,
      PeerMessageHandler handler,
      Consumer<PeerIdentity> onAuthenticated) {
    this.timer = timer;
    this.settings = settings;
    this.view = view;
    this.handler = handler;
    this.onAuthenticated = onAuthenticated;
  }

  @Override
  public void authenticated(Connection connection) {
    PeerIdentity peer = connection.remote();
    closeOtherIncarnations(peer);
    sessions.put(connection, new Session(new HeartbeatReader(settings.maxFrameBytes())));
    onAuthenticated.accept(peer);
  }

  /** Closes connections of other incarnations at the address of an authenticated peer. */
  void closeOtherIncarnations(PeerIdentity current) {
    for (Connection connection : List.copyOf(sessions.keySet())) {
      PeerIdentity remote = connection.remote();
      if (remote.address().equals(current.address())
          && remote.incarnation() != current.incarnation()) {
        connection.close("another incarnation connected");
      }
    }
  }

  @Override
  public void received(Connection connection, Frame frame) {
    Session session = sessions.get(connection);
    switch (frame.getMessageCase()) {
      case HEARTBEAT -> heartbeat(connection, session, frame.getHeartbeat());
      case CALL_REQUEST -> call(connection, session, frame.getCallRequest());
      case NOTE_PUSH -> notePush(connection, frame.getNotePush());
      case KEEP_ALIVE -> {}
      default -> connection.reject(frame.getMessageCase() + " is not allowed in this direction");
    }
  }

  @Override
  public void closed(Connection connection, String reason) {
    sessions.remove(connection);
  }

  /** Runs every second: sends keep-alive frames to callers and closes unresponsive connections. */
  void tick() {
    for (Map.Entry<Connection, Session> entry : List.copyOf(sessions.entrySet())) {
      Connection connection = entry.getKey();
      boolean ownDomain = isOwnDomain(connection);
      long inactiveNanos = timer.nanoTime() - connection.lastReceivedNanos();
      boolean hasOpenCalls = entry.getValue().openCalls > 0;
      if (ownDomain && inactiveNanos >= OutgoingLink.UNRESPONSIVE_AFTER.toNanos()) {
        connection.close("the connection is unresponsive");
      } else if (!hasOpenCalls && inactiveNanos >= ABANDONED_AFTER.toNanos()) {
        connection.close("the connection is abandoned");
      } else if (ownDomain || hasOpenCalls) {
        connection.send(KEEP_ALIVE);
      }
    }
  }

  /** Restarts the inactivity timers, for use after this process was paused. */
  void restartInactivityTimers() {
    sessions.keySet().forEach(Connection::restartInactivityTimer);
  }

  void close(String reason) {
    List.copyOf(sessions.keySet()).forEach(connection -> connection.close(reason));
  }

  private boolean isOwnDomain(Connection connection) {
    return connection.remote().failureDomain().equals(settings.failureDomain());
  }

  private void heartbeat(Connection connection, Session session, Heartbeat heartbeat) {
    if (!isOwnDomain(connection)) {
      connection.reject("a heartbeat from another failure domain");
      return;
    }
    try {
      LocalStatus status = session.heartbeats.read(heartbeat);
      PeerIdentity peer = connection.remote();
      view.heartbeatReceived(peer.address(), peer.incarnation(), heartbeat.getSequence(), status);
    } catch (LovagerackException e) {
      connection.reject(e.getMessage());
    }
  }

  private void notePush(Connection connection, NotePush push) {
    if (!isOwnDomain(connection)) {
      connection.reject("a release note from another failure domain");
      return;
    }
    runLoggingErrors(
        () -> handler.onNotePush(push.getRevision(), Bytes.copyOf(push.getNote().toByteArray())));
  }

  private void call(Connection connection, Session session, CallRequest request) {
    session.openCalls++;
    runLoggingErrors(
        () -> handler.onCall(request, new Reply(connection, session, request.getNumber())));
  }

  private Frame response(long number, int status, Bytes body) {
    CallResponse response =
        CallResponse.newBuilder()
            .setNumber(number)
            .setStatus(status)
            .setBody(ByteString.copyFrom(body.toByteArray()))
            .build();
    Frame frame = Frame.newBuilder().setCallResponse(response).build();
    if (frame.getSerializedSize() > settings.maxFrameBytes()) {
      throw new IllegalArgumentException(
          "an answer of " + body.length() + " bytes exceeds the frame limit");
    }
    return frame;
  }

  /** Runs an action and logs its errors, so that they do not abort the task of the event loop. */
  private static void runLoggingErrors(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e, "during", "handling a message from a peer");
    }
  }

  private final class Reply implements CallReply {
    private final Connection connection;
    private final Session session;
    private final long number;
    private boolean answered;

    private Reply(Connection connection, Session session, long number) {
      this.connection = connection;
      this.session = session;
      this.number = number;
    }

    @Override
    public void answer(int status, Bytes body) {
      if (answered) {
        throw new IllegalStateException("call " + number + " was already answered");
      }
      Frame response = response(number, status, body);
      answered = true;
      session.openCalls--;
      if (connection.usable()) {
        connection.send(response);
      }
    }
  }

  private static final class Session {
    private final HeartbeatReader heartbeats;
    private int openCalls;

    private Session(HeartbeatReader heartbeats) {
      this.heartbeats = heartbeats;
    }
  }
}
