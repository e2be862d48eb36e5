package org.lovagerack.daemon.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.lovagerack.burn.BurnSnapshot;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.daemon.http.HttpInterface;
import org.lovagerack.daemon.http.RouteGroup;
import org.lovagerack.daemon.peer.EntryVmDirectory;
import org.lovagerack.daemon.peer.PeerBroadcast;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.generated.PeerProtocol.BurnCall;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.InForceCall;
import org.lovagerack.notes.NoteCodec;
import org.lovagerack.notes.NotePublisher;
import org.lovagerack.notes.Publication;

/** HTTP routes for operators. Each requires the operator key. */
public final class OperatorRoutes implements RouteGroup {

  private static final EventLog LOG = new EventLog(OperatorRoutes.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PREFIX = "/v1/operator/";
  private static final String BEARER = "Bearer ";
  private static final Duration BROADCAST_TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  private final byte[] operatorKey;
  private final NotePublisher publisher;
  private final InForceReport inForce;
  private final ClusterBurn burn;
  private final EntryVmDirectory directory;
  private final PeerBroadcast broadcast;
  private final Runnable drain;

  /**
   * Creates the routes.
   *
   * @param operatorKey key that each request must carry
   * @param publisher publishes release notes
   * @param inForce reports the deployment in force
   * @param burn reports the error-budget burn
   * @param directory the other entry VMs
   * @param broadcast calls the other entry VMs
   * @param drain starts a graceful shutdown
   */
  public OperatorRoutes(
      String operatorKey,
      NotePublisher publisher,
      InForceReport inForce,
      ClusterBurn burn,
      EntryVmDirectory directory,
      PeerBroadcast broadcast,
      Runnable drain) {
    this.operatorKey = operatorKey.getBytes(StandardCharsets.UTF_8);
    this.publisher = publisher;
    this.inForce = inForce;
    this.burn = burn;
    this.directory = directory;
    this.broadcast = broadcast;
    this.drain = drain;
  }

  @Override
  public void addTo(Router router) {
    router.route(PREFIX + "*").handler(this::authorize);
    router.post(PREFIX + "notes").handler(this::publish);
    router.get(PREFIX + "in-force").handler(this::inForce);
    router.get(PREFIX + "burn").handler(this::burn);
    router.post(PREFIX + "drain").handler(this::drain);
  }

  private void authorize(RoutingContext context) {
    String header = context.request().getHeader(HttpHeaders.AUTHORIZATION);
    String key =
        header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    if (!MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8), operatorKey)) {
      LOG.write(LogEvent.OPERATOR_REJECTED, "path", context.request().path());
      HttpInterface.send(
          context,
          ProblemJson.answer(
              Failure.notRun(ErrorKind.UNAUTHORIZED, "Authorization must carry the operator key")));
      return;
    }
    LOG.write(
        LogEvent.OPERATOR_CALL,
        "method",
        context.request().method(),
        "path",
        context.request().path());
    context.next();
  }

  private void publish(RoutingContext context) {
    try {
      publisher
          .publish(NoteCodec.decode(HttpInterface.body(context).toText()))
          .whenComplete(
              (publication, failure) ->
                  HttpInterface.send(
                      context, failure == null ? published(publication) : rejected(failure)));
    } catch (LovagerackException e) {
      HttpInterface.send(context, ProblemJson.answer(e.failure()));
    }
  }

  private static Answer published(Publication publication) {
    return Answer.json(
        OK,
        MAPPER
            .createObjectNode()
            .put("revision", publication.revision())
            .put("repeated", publication.repeated())
            .toString());
  }

  private static Answer rejected(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof LovagerackException expected) {
      return ProblemJson.answer(expected.failure());
    }
    LOG.write(LogEvent.UNEXPECTED_ERROR, cause, "call", "publish");
    return ProblemJson.answer(
        Failure.mayHaveRun(ErrorKind.PUBLISH_UNKNOWN, String.valueOf(cause.getMessage())));
  }

  private void inForce(RoutingContext context) {
    broadcast.callAll(
        directory.all(),
        CallRequest.newBuilder().setInForce(InForceCall.getDefaultInstance()).build(),
        BROADCAST_TIMEOUT,
        outcomes -> HttpInterface.send(context, inForce.merge(outcomes)));
  }

  private void burn(RoutingContext context) {
    broadcast.callAll(
        directory.all(),
        CallRequest.newBuilder().setBurn(BurnCall.getDefaultInstance()).build(),
        BROADCAST_TIMEOUT,
        outcomes -> sendBurn(context, outcomes));
  }

  /** Merges on a worker thread, because it takes milliseconds for each entry VM. */
  private void sendBurn(RoutingContext context, Map<String, CallOutcome> outcomes) {
    BurnSnapshot own = burn.snapshot();
    context
        .vertx()
        .executeBlocking(() -> burn.merge(own, outcomes))
        .onSuccess(answer -> HttpInterface.send(context, answer))
        .onFailure(context::fail);
  }

  private void drain(RoutingContext context) {
    HttpInterface.send(context, Answer.json(ACCEPTED, "{\"state\":\"draining\"}"));
    drain.run();
  }
}
