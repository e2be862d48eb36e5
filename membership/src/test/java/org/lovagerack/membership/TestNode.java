package org.lovagerack.membership;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.StatusCall;

/** A process with a peer network that answers every call with its submission identifier. */
final class TestNode implements AutoCloseable, PeerMessageHandler {

  static final Bytes KEY = Bytes.ofText("cluster key of the tests");

  final TestLoop loop;
  final MembershipView view;
  final PeerNetwork network;
  final String address;
  final long incarnation;
  final List<Long> notes = new ArrayList<>();
  LocalStatus status = LocalStatus.initial();
  final List<CallReply> heldReplies = new ArrayList<>();
  boolean answering = true;
  int callsReceived;

  TestNode(TestLoop loop, PeerNetworkSettings settings, Set<String> peers) throws Exception {
    this.loop = loop;
    this.incarnation = settings.incarnation();
    this.view = new MembershipView(loop, peers);
    this.network =
        new PeerNetwork(
            loop,
            loop.executor,
            settings,
            new Random(settings.incarnation()),
            new SecureRandom(),
            view,
            this,
            () -> status);
    this.address = loop.get(network::start).get();
  }

  static TestNode start(TestLoop loop, long incarnation, String... peers) throws Exception {
    return new TestNode(loop, settings("domain-a", incarnation, KEY), Set.of(peers));
  }

  static PeerNetworkSettings settings(String failureDomain, long incarnation, Bytes key) {
    return PeerNetworkSettings.withDefaults(failureDomain, "127.0.0.1:0", incarnation, key);
  }

  static PeerNetworkSettings settingsAt(
      String listen, Optional<String> advertised, long incarnation) {
    return new PeerNetworkSettings(
        "domain-a", listen, advertised, incarnation, KEY, 4 << 20, 4, 5_000);
  }

  CompletableFuture<CallOutcome> call(String target, long expected, Duration timeout)
      throws Exception {
    CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
    CallRequest request =
        CallRequest.newBuilder()
            .setStatus(StatusCall.newBuilder().setSubmissionId("submission-1"))
            .build();
    loop.run(() -> network.call(target, expected, request, timeout, outcome::complete));
    return outcome;
  }

  /** Starts a node that advertises the address of a proxy. */
  static TestNode startBehind(StallingProxy proxy, TestLoop loop, long incarnation)
      throws Exception {
    PeerNetworkSettings settings =
        settingsAt("127.0.0.1:0", Optional.of(proxy.address()), incarnation);
    TestNode node = new TestNode(loop, settings, Set.of());
    proxy.forwardTo("127.0.0.1:" + node.network.listeningPort());
    return node;
  }

  /** Starts a node of another failure domain. */
  static TestNode startInOtherDomain(TestLoop loop, long incarnation) throws Exception {
    return new TestNode(loop, settings("domain-b", incarnation, KEY), Set.of());
  }

  /** Makes a call and advances time until its outcome is known. */
  CallOutcome await(String target, long expected) throws Exception {
    return await(call(target, expected, Duration.ofSeconds(20)));
  }

  CallOutcome await(CompletableFuture<CallOutcome> outcome) throws Exception {
    loop.until(outcome::isDone);
    return outcome.get();
  }

  /** Returns whether the view contains this incarnation of a peer as alive. */
  boolean sees(TestNode peer) {
    return view.peer(peer.address)
        .filter(seen -> !seen.suspect() && seen.incarnation() == peer.incarnation)
        .isPresent();
  }

  @Override
  public void onCall(CallRequest request, CallReply reply) {
    callsReceived++;
    if (answering) {
      reply.answer(200, Bytes.ofText(request.getStatus().getSubmissionId()));
    } else {
      heldReplies.add(reply);
    }
  }

  @Override
  public void onNotePush(long revision, Bytes note) {
    notes.add(revision);
  }

  @Override
  public void close() throws Exception {
    loop.get(network::close).get();
  }
}
