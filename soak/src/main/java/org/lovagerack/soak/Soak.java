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

/** One run of the soak with one seed. All parts but the processes share one event loop. */
final class Soak {

  /** Ends a run that hangs; far above every time that a part needs by itself. */
  private static final Duration HANG = Duration.ofSeconds(60);

  /** Longest fault of a plan and the restart after it. */
  private static final Duration LAST_FAULTS = Duration.ofSeconds(5);

  /** Traffic after the faults, which must be served. */
  private static final Duration RECOVERED = Duration.ofSeconds(2);

  /** Three attempts of a client with their pauses. */
  private static final Duration LAST_ANSWERS = Duration.ofSeconds(6);

  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);
  private static final int CONNECTIONS = 256;

  private final long seed;
  private final SoakOptions options;
  private final Path folder;
  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final TimerService timer = new EventLoopTimer(vertx, context);
  private final PrintWriter events;
  private final Set<String> violations = new LinkedHashSet<>();
  private final Promise<List<String>> finished = Promise.promise();
  private final List<SoakVm> vms = new ArrayList<>();
  private final List<SoakWorker> workers = new ArrayList<>();
  private final Disruptions disruptions = new Disruptions(timer);
  private final Promises promises;
  private final long startNanos = timer.nanoTime();

  /**
   * Prepares a run.
   *
   * @throws UncheckedIOException if the folder of the seed cannot be written
   */
  Soak(long seed, SoakOptions options) {
    this.seed = seed;
    this.options = options;
    this.folder = options.folder().resolve("seed-" + seed);
    try {
      Files.createDirectories(folder);
      this.events =
          new PrintWriter(
              Files.newBufferedWriter(folder.resolve("events.log"), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.promises = new Promises(timer, options.timedPromises(), disruptions, this::violated);
  }

  /** Runs the soak; the future's value lists the broken promises, each once. */
  Future<List<String>> run() {
    context.runOnContext(ignored -> open());
    return finished
        .future()
        .onComplete(
            ignored -> {
              vms.forEach(SoakVm::close);
              events.close();
              vertx.close();
            });
  }

  private void open() {
    StoreStandIn store = new StoreStandIn(vertx);
    HttpCaller caller = new HttpCaller(vertx, CONNECTIONS);
    List<Future<Void>> opened = new ArrayList<>();
    for (int worker = 0; worker < options.workers(); worker++) {
      SoakWorker added = new SoakWorker(vertx, timer, store, worker, promises);
      workers.add(added);
      opened.add(added.open());
    }
    Configurations configurations = new Configurations(timer, caller, store, vms, promises);
    configurations.publishNext();
    Future.all(opened)
        .compose(ignored -> store.listen())
        .compose(port -> openVms(caller, port))
        .onSuccess(
            ignored ->
                await(
                    "all entry VMs ready at the start",
                    this::allReady,
                    () -> playFaults(store, caller, configurations)))
        .onFailure(
            cause -> {
              violated("the soak did not start: " + cause);
              finish();
            });
  }

  private Future<Void> openVms(HttpCaller caller, int storePort) {
    List<Future<Void>> opened = new ArrayList<>();
    for (int vm = 0; vm < options.vms(); vm++) {
      SoakVm added =
          new SoakVm(
              vm,
              vertx,
              context,
              timer,
              caller,
              disruptions,
              promises,
              this::violated,
              folder,
              storePort);
      vms.add(added);
      opened.add(added.open());
    }
    return Future.all(opened).mapEmpty();
  }

  private void playFaults(StoreStandIn store, HttpCaller caller, Configurations configurations) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultPlan plan =
        FaultPlan.draw(random.split(), options.length(), options.vms(), options.workers());
    ClientLoad load = new ClientLoad(timer, random.split(), caller, vms, promises, this::violated);
    configurations.watch();
    load.start(options.jobsPerSecond());
    new FaultInjector(timer, disruptions, store, vms, workers, configurations, this::note)
        .start(plan);
    timer.after(
        options.length().plus(LAST_FAULTS),
        () -> await("all entry VMs ready after the faults", this::allReady, () -> recover(load)));
  }

  private void recover(ClientLoad load) {
    int before = load.accepted();
    timer.after(
        RECOVERED,
        () -> {
          if (load.accepted() == before) {
            violated("no job was accepted after the faults");
          }
          load.stop();
          timer.after(LAST_ANSWERS, () -> awaitEnds(load));
        });
  }

  private void awaitEnds(ClientLoad load) {
    TimerSubscription polls = timer.every(CHECK_PERIOD.multipliedBy(2), load::pollAll);
    await(
        "every accepted job ended",
        () -> promises.acceptedKeptJobs().stream().allMatch(JobHistory::hasEnded),
        () -> {
          polls.cancel();
          promises.checkEnd();
          finish();
        });
  }

  private boolean allReady() {
    return vms.stream().allMatch(SoakVm::isReady);
  }

  /** Goes on when a condition holds; a condition that never holds is a broken promise. */
  private void await(String what, BooleanSupplier condition, Runnable next) {
    await(what, condition, next, timer.nanoTime());
  }

  private void await(String what, BooleanSupplier condition, Runnable next, long sinceNanos) {
    if (condition.getAsBoolean()) {
      next.run();
    } else if (timer.nanoTime() - sinceNanos > HANG.toNanos()) {
      violated("not reached within " + HANG.toSeconds() + " s: " + what);
      promises.checkEnd();
      finish();
    } else {
      timer.after(CHECK_PERIOD, () -> await(what, condition, next, sinceNanos));
    }
  }

  private void violated(String sentence) {
    if (violations.add(sentence)) {
      note("BROKEN " + sentence);
    }
  }

  private void note(String text) {
    events.printf("%9.3f %s%n", (timer.nanoTime() - startNanos) / 1e9, text);
    events.flush();
  }

  private void finish() {
    note(promises.summary());
    finished.tryComplete(List.copyOf(violations));
  }

  /** Returns counts of the run, for its report. */
  String summary() {
    return promises.summary();
  }
}
