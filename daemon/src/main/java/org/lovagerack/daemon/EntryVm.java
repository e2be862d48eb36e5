package org.lovagerack.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.lovagerack.burn.BurnRecorder;
import org.lovagerack.burn.BurnSnapshot;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.http.CallerRoutes;
import org.lovagerack.daemon.http.HealthRoutes;
import org.lovagerack.daemon.http.HttpInterface;
import org.lovagerack.daemon.job.JobApi;
import org.lovagerack.daemon.metrics.DispatchMetrics;
import org.lovagerack.daemon.metrics.JobBurnMetrics;
import org.lovagerack.daemon.metrics.JobMetrics;
import org.lovagerack.daemon.operator.ClusterBurn;
import org.lovagerack.daemon.operator.InForceReport;
import org.lovagerack.daemon.operator.OperatorRoutes;
import org.lovagerack.daemon.peer.EntryVmDirectory;
import org.lovagerack.daemon.peer.HandoverCodec;
import org.lovagerack.daemon.peer.HandoverSender;
import org.lovagerack.daemon.peer.PeerBroadcast;
import org.lovagerack.daemon.peer.PeerCallHandler;
import org.lovagerack.daemon.peer.PeerClient;
import org.lovagerack.daemon.peer.PeerNoteSource;
import org.lovagerack.daemon.peer.PeerOwnerClient;
import org.lovagerack.daemon.timer.PauseDetector;
import org.lovagerack.daemon.upstream.HttpUpstreamTransport;
import org.lovagerack.daemon.vmlist.VmListFollower;
import org.lovagerack.daemon.vmlist.VmListListener;
import org.lovagerack.dispatch.DispatchSettings;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.eventloop.EventLoopTimer;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.membership.LocalStatus;
import org.lovagerack.membership.MembershipView;
import org.lovagerack.membership.PeerNetwork;
import org.lovagerack.membership.PeerNetworkSettings;
import org.lovagerack.membership.PeerState;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.DeploymentListener;
import org.lovagerack.notes.NoteCodec;
import org.lovagerack.notes.NoteFollower;
import org.lovagerack.notes.NotePublisher;
import org.lovagerack.notes.ReleaseNote;
import org.lovagerack.platform.HttpPlatformClient;
import org.lovagerack.platform.PlatformClientOptions;
import org.lovagerack.settings.Address;
import org.lovagerack.settings.Settings;
import org.lovagerack.submission.JobService;
import org.lovagerack.submission.OwnerIdentity;
import org.lovagerack.submission.SubmissionIdCodec;
import org.lovagerack.submission.SubmissionSettings;

/**
 * Creates and connects the components of one entry VM. All of them run on one event loop, on which
 * this class must be created and called.
 */
final class EntryVm {

  private static final EventLog LOG = new EventLog(EntryVm.class);
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 64;
  private static final int MAX_ANSWER_BYTES = 4 << 20;

  /** Maximum suspension of task starts after a pause, until newer load information arrives. */
  private static final Duration MAX_START_SUSPENSION = Duration.ofMillis(500);

  private final Settings settings;
  private final EventLoopTimer timer;
  private final NoteFollower notes;
  private final VmListFollower vmList;
  private final Dispatcher dispatcher;
  private final JobBurnMetrics burnMetrics;
  private final PeerNetwork network;
  private final HttpInterface http;
  private final GracefulShutdown shutdown;
  private final MetricRegistry metrics = new MetricRegistry();

  /**
   * Creates the components.
   *
   * @param vertx the Vert.x instance
   * @param context the event loop of all components
   * @param settings settings of this entry VM
   * @param exit starts a graceful shutdown of the process when an operator requests it
   */
  EntryVm(Vertx vertx, Context context, Settings settings, Runnable exit) {
    this.settings = settings;
    timer = new EventLoopTimer(vertx, context);
    SecureRandom secureRandom = new SecureRandom();
    RandomGenerator random =
        RandomGeneratorFactory.of("L64X128MixRandom").create(secureRandom.nextLong());
    long incarnation = generateIncarnation(secureRandom);
    Bytes clusterKey = Bytes.ofText(settings.keys().cluster());
    String peerAddress = settings.peers().address().toString();

    HttpPlatformClient platform = new HttpPlatformClient(vertx, platformOptions(settings));
    MembershipView view = new MembershipView(timer, settings.peers().known());
    EntryVmDirectory directory = new EntryVmDirectory(view, settings.peers().remote());
    PeerClient peerClient = new PeerClient();
    PeerBroadcast broadcast = new PeerBroadcast(peerClient);
    notes =
        new NoteFollower(
            timer, random, platform, platform, new PeerNoteSource(directory, broadcast));
    NotePublisher publisher = new NotePublisher(timer, platform, platform, notes);
    vmList = new VmListFollower(timer, random, platform, settings.failureDomain());

    dispatcher =
        new Dispatcher(
            timer,
            new HttpUpstreamTransport(vertx, MAX_CONNECTIONS_PER_UPSTREAM, MAX_ANSWER_BYTES),
            random,
            DispatchSettings.defaults().withFailureDomain(settings.failureDomain()),
            new DispatchMetrics(metrics, this::statusChanged));
    BurnRecorder burnRecorder = new BurnRecorder(timer);
    burnMetrics = new JobBurnMetrics(burnRecorder);
    SubmissionIdCodec codec = new SubmissionIdCodec(clusterKey);
    SubmissionSettings submissionSettings = submissionSettings(settings);
    JobService jobs =
        new JobService(
            timer,
            dispatcher,
            submissionSettings,
            new OwnerIdentity(settings.failureDomain(), peerAddress, incarnation),
            codec,
            new JobMetrics(metrics, burnMetrics));
    JobApi jobApi =
        new JobApi(
            jobs,
            codec,
            new PeerOwnerClient(peerClient, codec),
            this::hasDeployment,
            submissionSettings.maxIssueCount());
    HandoverCodec handovers = new HandoverCodec(codec);
    shutdown =
        new GracefulShutdown(
            timer, settings.drain(), jobs, new HandoverSender(directory, broadcast, handovers));

    InForceReport inForce =
        new InForceReport(peerAddress, settings.failureDomain(), notes, shutdown::started);
    ClusterBurn burn = new ClusterBurn(peerAddress, burnRecorder);
    network =
        new PeerNetwork(
            timer,
            task -> context.runOnContext(ignored -> task.run()),
            networkSettings(settings, incarnation, clusterKey),
            random,
            secureRandom,
            view,
            new PeerCallHandler(
                jobApi,
                jobs,
                handovers,
                notes,
                reply -> reply.accept(inForce.local()),
                reply -> answerBurn(vertx, burn, reply)),
            this::status);
    peerClient.connect(network);
    view.addListener(new PeerLoadBridge(dispatcher, vmList));
    notes.addListener(new DeploymentBridge());
    vmList.addListener(new VmListBridge(view, directory));
    http =
        new HttpInterface(
            vertx,
            settings.callers(),
            List.of(
                new CallerRoutes(jobApi, settings.callers().maxWait()),
                new HealthRoutes(metrics, this::readiness),
                new OperatorRoutes(
                    settings.keys().operator(),
                    publisher,
                    inForce,
                    burn,
                    directory,
                    broadcast,
                    exit)));
  }

  /** Opens the ports and completes with the address for callers. */
  Future<Address> start() {
    new PauseDetector(timer, this::onPause).start();
    return Future.fromCompletionStage(network.start())
        .compose(
            ignored -> {
              notes.start();
              vmList.start();
              return http.listen();
            })
        .map(port -> new Address(settings.callers().address().host(), port));
  }

  /** Starts a graceful shutdown; the future completes when the process may exit. */
  Future<Void> stop() {
    Promise<Void> finished = Promise.promise();
    shutdown.start(
        () ->
            http.shutdown(settings.drain().limit())
                .compose(ignored -> Future.fromCompletionStage(network.close()))
                .onComplete(ignored -> finished.complete()));
    return finished.future();
  }

  /** Generates a random incarnation other than the one that is reserved for any process. */
  private static long generateIncarnation(RandomGenerator random) {
    long incarnation = random.nextLong();
    return incarnation == PeerNetwork.ANY_INCARNATION ? generateIncarnation(random) : incarnation;
  }

  private static PlatformClientOptions platformOptions(Settings settings) {
    return new PlatformClientOptions(
        settings.platform().addresses().stream().map(EntryVm::socketAddress).toList(),
        settings.platform().key(),
        settings.failureDomain(),
        settings.platform().timeout(),
        settings.platform().timeout());
  }

  private static SocketAddress socketAddress(String address) {
    Address parsed = Address.parse(address);
    return SocketAddress.inetSocketAddress(parsed.port(), parsed.host());
  }

  private static SubmissionSettings submissionSettings(Settings settings) {
    SubmissionSettings defaults = SubmissionSettings.defaults();
    return new SubmissionSettings(
        defaults.unusedLifetime(),
        defaults.answerRetention(),
        settings.drain().linger(),
        defaults.maxIssueCount(),
        defaults.maxOutstanding(),
        defaults.maxRetainedBytes());
  }

  private static PeerNetworkSettings networkSettings(
      Settings settings, long incarnation, Bytes clusterKey) {
    return new PeerNetworkSettings(
        settings.failureDomain(),
        settings.peers().address().toString(),
        Optional.empty(),
        incarnation,
        clusterKey,
        settings.peers().maxFrameBytes(),
        PeerNetworkSettings.DEFAULT_MAX_UNAUTHENTICATED_CONNECTIONS,
        PeerNetworkSettings.DEFAULT_LOAD_BYTES_PER_SECOND);
  }

  /** Encodes on a worker thread, because a snapshot takes tens of milliseconds to encode. */
  private static void answerBurn(Vertx vertx, ClusterBurn burn, Consumer<Answer> reply) {
    BurnSnapshot snapshot = burn.snapshot();
    vertx.executeBlocking(() -> ClusterBurn.encode(snapshot)).onSuccess(reply::accept);
  }

  private boolean hasDeployment() {
    return notes.deployment().isPresent();
  }

  private HealthRoutes.Readiness readiness() {
    if (shutdown.started()) {
      return HealthRoutes.Readiness.DRAINING;
    }
    return hasDeployment() ? HealthRoutes.Readiness.READY : HealthRoutes.Readiness.STARTING;
  }

  private LocalStatus status() {
    return new LocalStatus(
        shutdown.started() ? PeerState.DRAINING : PeerState.SERVING,
        notes.deployment().map(Deployment::revision).orElse(0L),
        dispatcher.queuedTasks(),
        dispatcher.inFlightByUpstream(),
        vmList.version(),
        vmList.leaving());
  }

  private void statusChanged() {
    network.statusChanged();
  }

  private void onPause(Duration pause) {
    LOG.write(LogEvent.PAUSE_DETECTED, "pause", pause);
    dispatcher.suspendStarts(MAX_START_SUSPENSION);
  }

  private final class DeploymentBridge implements DeploymentListener {

    @Override
    public void deployed(Deployment deployment) {
      dispatcher.deploy(deployment);
      burnMetrics.deployed(deployment);
      vmList.retainDeployed(deployment.upstreams().keySet());
      LOG.write(LogEvent.NOTE_APPLIED, "revision", deployment.revision());
      statusChanged();
    }

    @Override
    public void noteReceivedFromPlatform(long revision, ReleaseNote note) {
      network.pushNote(revision, Bytes.ofText(NoteCodec.encode(note)));
    }
  }

  private final class VmListBridge implements VmListListener {
    private final MembershipView view;
    private final EntryVmDirectory directory;

    VmListBridge(MembershipView view, EntryVmDirectory directory) {
      this.view = view;
      this.directory = directory;
    }

    @Override
    public void entryVmsListed(Set<String> peers, Set<String> others) {
      view.setListedAddresses(peers);
      directory.listRemote(others);
    }

    @Override
    public void upstreamLeaving(String upstream) {
      dispatcher.upstreamLeaving(upstream);
    }

    @Override
    public void upstreamLive(String upstream) {
      dispatcher.upstreamLive(upstream);
    }
  }
}
