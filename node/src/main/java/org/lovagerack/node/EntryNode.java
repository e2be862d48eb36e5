package org.lovagerack.node;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.server.MemoryBudget;
import org.lovagerack.eventloop.server.PortGuard;
import org.lovagerack.eventloop.server.PortLimits;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.entry.JobRouter;
import org.lovagerack.fleet.entry.ShutdownAdmission;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.shard.EntryLiveness;
import org.lovagerack.fleet.shard.FleetBounds;
import org.lovagerack.fleet.shard.LeaseClock;
import org.lovagerack.fleet.shard.Neighbours;
import org.lovagerack.fleet.shard.OwnedShardFactory;
import org.lovagerack.fleet.store.TableFollower;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerFeed;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.node.peer.PeerClient;
import org.lovagerack.node.peer.PeerServer;
import org.lovagerack.node.settings.LimitSettings;
import org.lovagerack.node.settings.NodeSettings;
import org.lovagerack.platform.wire.ClientInterface;
import org.lovagerack.platform.wire.ConfigurationTableListener;
import org.lovagerack.platform.wire.EvacuationTableListener;
import org.lovagerack.platform.wire.TableStore;
import org.lovagerack.platform.wire.WorkerClient;
import org.lovagerack.platform.wire.WorkerTableListener;

/** One entry VM; all its components run on one event loop. */
final class EntryNode {

  private static final EventLog LOG = new EventLog(EntryNode.class);

  /** For two long polls, a transaction, and reads during recovery. */
  private static final int STORE_CONNECTIONS = 6;

  /** For one long-polling report and concurrent starts. */
  private static final int WORKER_CONNECTIONS = 4;

  /** Each forwarded job occupies a connection until the owner responds. */
  private static final int PEER_CONNECTIONS = 512;

  /**
   * Pause between polls. Workers renew their entries often; a drain must take effect within 2 s.
   */
  private static final Duration WORKER_FOLLOW_PAUSE = Duration.ofMillis(400);

  /**
   * Maximum wait of one long poll of a table. Including the timeout margin, it is shorter than the
   * time in which the platform expects a VM whose connections became unresponsive to have the
   * current configuration.
   */
  private static final Duration FOLLOW_WAIT = Duration.ofSeconds(2);

  /** Time between the last responses and the end of the process. */
  private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(700);

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /** Used until the configuration is known; the platform's usual limit. */
  private static final int DEFAULT_BODY_BYTES = 262_144;

  /** Greater than every message between entry VMs; the largest are stored jobs of up to 1 MB. */
  private static final int PEER_BODY_BYTES = 4_194_304;

  /** Longer than the callers of other entry VMs keep idle connections. */
  private static final Duration PEER_IDLE_TIMEOUT = Duration.ofSeconds(150);

  /** Enough for load balancers and monitoring. */
  private static final int INTERNAL_CONNECTIONS = 64;

  private final Vertx vertx;
  private final NodeSettings settings;
  private final TimerService timer;
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final Evacuations evacuations = new Evacuations();
  private final NodeMetrics metrics = new NodeMetrics(evacuations);
  private final JobRouter router;
  private final TableFollower configurationFollower;
  private final ShutdownAdmission shutdownAdmission;
  private final MemoryBudget clientMemory;
  private final MemoryBudget peerMemory;
  private final ClientInterface clientInterface;
  private final PeerServer peerServer;
  private final WarmUp warmUp;
  private HttpServer clientServer;
  private boolean stopping;

  EntryNode(
      Vertx vertx,
      NodeSettings settings,
      TimerService timer,
      RandomGenerator random,
      long incarnation) {
    this.vertx = vertx;
    this.settings = settings;
    this.timer = timer;
    TableStore store =
        new TableStore(new HttpCaller(vertx, STORE_CONNECTIONS), settings.storeAddress());
    WorkerDirectory directory = new WorkerDirectory();
    configurationFollower =
        new TableFollower(
            timer,
            store,
            ConfigurationTableListener.TABLE,
            List.of(""),
            FOLLOW_WAIT,
            Duration.ZERO,
            new EvacuationTableListener(evacuations),
            new ConfigurationTableListener(configuration));
    WorkerFeed workers =
        new WorkerFeed(
            directory,
            new TableFollower(
                timer,
                store,
                WorkerTableListener.TABLE,
                List.of(""),
                FOLLOW_WAIT,
                WORKER_FOLLOW_PAUSE,
                new WorkerTableListener(directory)));
    EntryId self = new EntryId(incarnation);
    LeaseClock clock = new LeaseClock(timer, System::currentTimeMillis);
    EntryLiveness entryLiveness = new EntryLiveness(clock, self);
    OwnedShardFactory factory =
        new OwnedShardFactory(
            timer,
            System::currentTimeMillis,
            clock,
            store,
            new WorkerClient(new HttpCaller(vertx, WORKER_CONNECTIONS)),
            workers,
            worker -> true,
            Neighbours.NONE,
            entryLiveness,
            evacuations,
            configuration,
            new FleetBounds(settings.maxWorkerLease(), settings.statusRetention()),
            settings.lookAheadPlacement(),
            metrics);
    EntryVm vm = new EntryVm(self, settings.advertisedPeerAddress(), settings.failureDomain());
    PeerClient peerCalls =
        new PeerClient(
            new HttpCaller(vertx, PEER_CONNECTIONS), vm, evacuations, settings.redirectJobs());
    router =
        new JobRouter(
            timer,
            random,
            peerCalls,
            factory,
            vm,
            settings.processorShare(),
            settings.workersPerShard(),
            settings.redirectJobs());
    shutdownAdmission = new ShutdownAdmission(timer);
    clientMemory = new MemoryBudget(settings.limits().clientMemoryBytes());
    peerMemory = new MemoryBudget(settings.limits().peerMemoryBytes());
    clientInterface =
        new ClientInterface(timer, configuration, router, self, shutdownAdmission, clientMemory);
    peerServer = new PeerServer(router, entryLiveness, evacuations, peerMemory, incarnation);
    warmUp =
        new WarmUp(
            vertx,
            timer,
            factory.forInternalWork(),
            peerCalls,
            router,
            vm,
            System.currentTimeMillis(),
            metrics::warmUpEnded);
  }

  /** Opens the ports and starts following the store. */
  Future<Void> start() {
    LimitSettings limits = settings.limits();
    PortLimits clientLimits = portLimits(limits.clientConnections(), limits.idleTimeout());
    PortLimits peerLimits = portLimits(limits.peerConnections(), PEER_IDLE_TIMEOUT);
    PortLimits internalLimits = portLimits(INTERNAL_CONNECTIONS, limits.idleTimeout());
    Function<ErrorKind, byte[]> noBody = kind -> new byte[0];
    PortGuard peers = guard("peer", peerLimits, () -> PEER_BODY_BYTES, peerMemory, noBody);
    PortGuard readiness =
        guard("readiness", internalLimits, this::clientBodyBytes, clientMemory, noBody);
    PortGuard monitoring =
        guard("metrics", internalLimits, this::clientBodyBytes, clientMemory, noBody);
    PortGuard clients =
        guard(
            "client",
            clientLimits,
            this::clientBodyBytes,
            clientMemory,
            ClientInterface::refusalBody);
    return listen(settings.peerAddress(), peers, peerServer::handle)
        .compose(server -> listen(settings.readinessAddress(), readiness, this::readiness))
        .compose(server -> listen(settings.metricsAddress(), monitoring, this::metrics))
        .compose(server -> listen(settings.clientAddress(), clients, clientInterface::handle))
        .map(
            server -> {
              clientServer = server;
              configurationFollower.start();
              router.start();
              if (router.isPreferredOwner()) {
                warmUp.start();
              }
              return null;
            });
  }

  /**
   * Shuts down gracefully: releases the shards, serves open connections while clients move to other
   * VMs, and fails the requests that are still open at the end.
   */
  Future<Void> stop() {
    Promise<Void> stopped = Promise.promise();
    stopping = true;
    Duration servingTime = settings.stopWithin().minus(SHUTDOWN_MARGIN);
    shutdownAdmission.begin(servingTime);
    LOG.write(LogEvent.DRAIN_STARTED, "shards", router.ownedShards());
    router.releaseShards(() -> LOG.write(LogEvent.DRAIN_FINISHED));
    timer.after(
        servingTime,
        () -> {
          clientInterface.failOpenRequests();
          clientServer
              .shutdown(SHUTDOWN_MARGIN.toMillis() / 2, TimeUnit.MILLISECONDS)
              .onComplete(ignored -> stopped.complete());
        });
    return stopped.future();
  }

  private PortLimits portLimits(int maxConnections, Duration idleTimeout) {
    LimitSettings limits = settings.limits();
    return new PortLimits(
        maxConnections,
        limits.requestsPerConnection(),
        limits.headerFields(),
        limits.headerTimeout(),
        limits.bodyTimeout(),
        limits.writeTimeout(),
        idleTimeout);
  }

  private PortGuard guard(
      String name,
      PortLimits limits,
      IntSupplier maxBodyBytes,
      MemoryBudget budget,
      Function<ErrorKind, byte[]> refusalBody) {
    PortGuard guard = new PortGuard(name, timer, limits, maxBodyBytes, budget, refusalBody);
    metrics.observe(name, guard, budget);
    return guard;
  }

  private int clientBodyBytes() {
    return configuration
        .inForce()
        .map(current -> current.limits().bodyBytes())
        .orElse(DEFAULT_BODY_BYTES);
  }

  private Future<HttpServer> listen(
      String address, PortGuard guard, Handler<HttpServerRequest> handler) {
    int colon = address.lastIndexOf(':');
    return vertx
        .createHttpServer(PortGuard.serverOptions())
        .connectionHandler(guard::accept)
        .requestHandler(handler)
        .listen(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon));
  }

  private void readiness(HttpServerRequest request) {
    boolean ready = !stopping && configuration.inForce().isPresent() && router.ready();
    request.response().setStatusCode(ready ? OK : UNAVAILABLE).end();
  }

  private void metrics(HttpServerRequest request) {
    request.response().putHeader("Content-Type", "text/plain").end(metrics.text());
  }
}
