package org.lovagerack.soak;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.lovagerack.eventloop.EventLoopTimer;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.platform.standin.StoreStandIn;

/** Soak test with one seed. All parts except the entry VM processes share one event loop. */
final class Soak {

  /** Ends a soak that makes no progress; much longer than any single step takes. */
  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(60);

  /** Longest fault and the restart after it. */
  private static final Duration FAULT_SETTLE_TIME = Duration.ofSeconds(5);

  /** Duration of the traffic after the faults, in which a job has to be accepted. */
  private static final Duration RECOVERY_TRAFFIC_TIME = Duration.ofSeconds(2);

  /** Enough for the attempts of a client and the delays between them. */
  private static final Duration LAST_ATTEMPTS_TIME = Duration.ofSeconds(6);

  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);
  private static final int MAX_CONNECTIONS = 256;

  private final long seed;
  private final SoakOptions options;
  private final Path folder;
  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final TimerService timer = new EventLoopTimer(vertx, context);
  private final PrintWriter eventLog;
  private final Set<String> violations = new LinkedHashSet<>();
  private final Promise<List<String>> finished = Promise.promise();
  private final List<SoakVm> vms = new ArrayList<>();
  private final List<SoakWorker> workers = new ArrayList<>();
  private final Disruptions disruptions = new Disruptions(timer);
  private final GuaranteeChecker checker;
  private final long startNanos = timer.nanoTime();

  /**
   * Creates a soak test and the folder of its seed.
   *
   * @throws UncheckedIOException if the folder or the event log cannot be created
   */
  Soak(long seed, SoakOptions options) {
    this.seed = seed;
    this.options = options;
    this.folder = options.folder().resolve("seed-" + seed);
    try {
      Files.createDirectories(folder);
      this.eventLog =
          new PrintWriter(
              Files.newBufferedWriter(folder.resolve("events.log"), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.checker =
        new GuaranteeChecker(timer, options.checkTimeBounds(), disruptions, this::recordViolation);
  }

  /** Runs the soak; the future's value lists the distinct violations. */
  Future<List<String>> run() {
    context.runOnContext(ignored -> start());
    return finished
        .future()
        .onComplete(
            ignored -> {
              vms.forEach(SoakVm::close);
              eventLog.close();
              vertx.close();
            });
  }

  private void start() {
    StoreStandIn store = new StoreStandIn(vertx);
    HttpCaller caller = new HttpCaller(vertx, MAX_CONNECTIONS);
    List<Future<Void>> started = new ArrayList<>();
    for (int worker = 0; worker < options.workers(); worker++) {
      SoakWorker soakWorker = new SoakWorker(vertx, timer, store, worker, checker);
      workers.add(soakWorker);
      started.add(soakWorker.open());
    }
    ConfigurationPublisher configurationPublisher =
        new ConfigurationPublisher(timer, caller, store, vms, checker);
    configurationPublisher.publishNext();
    Future.all(started)
        .compose(ignored -> store.listen())
        .compose(port -> startVms(caller, port))
        .onSuccess(
            ignored ->
                await(
                    "all entry VMs are ready at the start",
                    this::allReady,
                    () -> injectFaults(store, caller, configurationPublisher)))
        .onFailure(
            cause -> {
              recordViolation("the soak did not start: " + cause);
              finish();
            });
  }

  private Future<Void> startVms(HttpCaller caller, int storePort) {
    List<Future<Void>> started = new ArrayList<>();
    for (int vm = 0; vm < options.vms(); vm++) {
      SoakVm soakVm =
          new SoakVm(
              vm,
              vertx,
              context,
              timer,
              caller,
              disruptions,
              checker,
              this::recordViolation,
              folder,
              storePort,
              true);
      vms.add(soakVm);
      started.add(soakVm.open());
    }
    return Future.all(started).mapEmpty();
  }

  private void injectFaults(
      StoreStandIn store, HttpCaller caller, ConfigurationPublisher configurationPublisher) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultPlan plan =
        FaultPlan.generate(random.split(), options.length(), options.vms(), options.workers());
    ClientLoad load =
        new ClientLoad(timer, random.split(), caller, vms, checker, this::recordViolation);
    configurationPublisher.startProbing();
    load.start(options.jobsPerSecond());
    new FaultInjector(
            timer, disruptions, store, vms, workers, configurationPublisher, this::logEvent)
        .start(plan);
    timer.after(
        options.length().plus(FAULT_SETTLE_TIME),
        () ->
            await(
                "all entry VMs are ready after the faults",
                this::allReady,
                () -> checkRecovery(load)));
  }

  private void checkRecovery(ClientLoad load) {
    int before = load.accepted();
    timer.after(
        RECOVERY_TRAFFIC_TIME,
        () -> {
          if (load.accepted() == before) {
            recordViolation("no job was accepted after the faults");
          }
          load.stop();
          timer.after(LAST_ATTEMPTS_TIME, () -> awaitJobEnds(load));
        });
  }

  private void awaitJobEnds(ClientLoad load) {
    TimerSubscription polls = timer.every(CHECK_PERIOD.multipliedBy(2), load::pollAll);
    await(
        "every accepted durable job has ended",
        () -> checker.acceptedDurableJobs().stream().allMatch(JobHistory::hasEnded),
        () -> {
          polls.cancel();
          checker.checkAtEnd();
          finish();
        });
  }

  private boolean allReady() {
    return vms.stream().allMatch(SoakVm::isReady);
  }

  /** Runs the next step when a condition holds; a timeout is recorded as a violation. */
  private void await(String description, BooleanSupplier condition, Runnable next) {
    await(description, condition, next, timer.nanoTime());
  }

  private void await(
      String description, BooleanSupplier condition, Runnable next, long sinceNanos) {
    if (condition.getAsBoolean()) {
      next.run();
    } else if (timer.nanoTime() - sinceNanos > CONDITION_TIMEOUT.toNanos()) {
      recordViolation(
          "condition not met within " + CONDITION_TIMEOUT.toSeconds() + " s: " + description);
      checker.checkAtEnd();
      finish();
    } else {
      timer.after(CHECK_PERIOD, () -> await(description, condition, next, sinceNanos));
    }
  }

  private void recordViolation(String violation) {
    if (violations.add(violation)) {
      logEvent("VIOLATION " + violation);
    }
  }

  private void logEvent(String text) {
    eventLog.printf("%9.3f %s%n", (timer.nanoTime() - startNanos) / 1e9, text);
    eventLog.flush();
  }

  private void finish() {
    logEvent(checker.summary());
    finished.tryComplete(List.copyOf(violations));
  }

  /** Returns the job counts of the soak. */
  String summary() {
    return checker.summary();
  }
}
