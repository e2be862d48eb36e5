package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Not a case: stored jobs of up to three steps under random faults for a minute, with all rules
 * checked at the end. The seed gives the order of the faults, not the times of the processes.
 */
final class RandomFaults {

  private static final int ATTEMPTS = 3;
  private static final int NODES = 4;

  private final Site site;
  private final double end;
  private final long seed;
  private final ExecutorService pool = Executors.newVirtualThreadPerTaskExecutor();
  private final Map<Object, Boolean> busy = new ConcurrentHashMap<>();
  private int added = 100;

  private RandomFaults(Site site, long seed, double end) {
    this.site = site;
    this.seed = seed;
    this.end = end;
  }

  /** Arguments: root, folder of the record, temporary folder, seed, faults, seconds, executors. */
  public static void main(String[] arguments) throws Exception {
    Site site = new Site(arguments, ATTEMPTS);
    for (int index = 1; index <= Integer.parseInt(arguments[6]); index++) {
      site.executor("executor-" + index, index % 2 == 0 ? "a" : "b", "r1-" + index);
    }
    site.startNodes(NODES);
    long seed = Long.parseLong(arguments[3]);
    double end = site.record.now() + Double.parseDouble(arguments[5]) * 1000;
    List<String> faults = new ArrayList<>(Set.of(arguments[4].split(",")));
    Collections.sort(faults);
    new RandomFaults(site, seed, end).play(faults);
  }

  private void play(List<String> faults) throws Exception {
    pool.submit(
        () -> {
          handJobsIn();
          return null;
        });
    Random random = new Random(seed);
    while (site.record.now() < end) {
      Thread.sleep(300 + random.nextInt(1800));
      causeFault(faults.get(random.nextInt(faults.size())), random);
    }
    Thread.sleep(6000);
    for (Node node : site.nodes) {
      node.door.fault = Store.Fault.NONE;
      if (!node.running()) {
        node.start();
      }
    }
    double limit = site.record.now() + 55_000;
    while (site.record.now() < limit && !allEnded()) {
      Thread.sleep(500);
    }
    Thread.sleep(3000);
    Rules rules = new Rules(site.executors, site.jobs, ATTEMPTS);
    rules.twice(true);
    rules.budget();
    rules.starts();
    rules.answers(true);
    System.out.println(
        site.jobs.jobs.size()
            + " jobs, accepted "
            + site.jobs.jobs.values().stream().filter(Jobs.Job::accepted).count());
    site.judge(rules);
  }

  private boolean allEnded() {
    return site.jobs.jobs.values().stream().allMatch(job -> !job.accepted() || job.shownEnded());
  }

  private void handJobsIn() throws InterruptedException {
    Random random = new Random(seed + 1);
    while (site.record.now() < end) {
      int milliseconds =
          random.nextInt(10) == 0
              ? 3000
              : random.nextInt(4) == 0 ? 900 : 60 + random.nextInt(200);
      List<Jobs.Step> steps = new ArrayList<>();
      int count = 1 + random.nextInt(3);
      for (int step = 0; step < count; step++) {
        steps.add(
            new Jobs.Step(
                1 + random.nextInt(4),
                2000 + random.nextInt(4000),
                milliseconds,
                step == 0 || random.nextBoolean() ? List.of() : List.of(random.nextInt(step)),
                random.nextInt(5) == 0 ? (random.nextBoolean() ? "a" : "b") : "",
                random.nextInt(5) == 0 ? 1 : 0));
      }
      String specification =
          "ms="
              + milliseconds
              + (random.nextInt(8) == 0 ? " flaky=0.3" : random.nextInt(25) == 0 ? " fail" : "")
              + " x"
              + random.nextInt(1_000_000);
      Jobs.Job job = site.jobs.create(specification, false, steps);
      boolean cancel = random.nextInt(8) == 0;
      boolean again = random.nextInt(6) == 0;
      int delay = random.nextInt(3000);
      pool.submit(
          () -> {
            follow(job, cancel, again, delay);
            return null;
          });
      Thread.sleep(60 + random.nextInt(120));
    }
  }

  private Node anyNode() {
    return site.nodes.get(ThreadLocalRandom.current().nextInt(site.nodes.size()));
  }

  private void follow(Jobs.Job job, boolean cancel, boolean again, int delay)
      throws InterruptedException {
    if (!site.jobs.submit(job, site.nodes, 1500, 20_000)) {
      return;
    }
    if (cancel) {
      Thread.sleep(delay / 2);
      site.jobs.cancel(job, site.nodes, 20_000);
    }
    if (again) {
      Thread.sleep(delay);
      site.jobs.submitOnce(job, anyNode(), 1500);
    }
    while (!job.shownEnded() && site.record.now() < end + 60_000) {
      site.jobs.state(job, anyNode(), 1500);
      Thread.sleep(400);
    }
  }

  private void causeFault(String kind, Random random) {
    Node owner = site.owner();
    Node node =
        random.nextInt(3) > 0 && owner != null
            ? owner
            : site.nodes.get(random.nextInt(site.nodes.size()));
    List<Executor> executors = List.copyOf(site.executors);
    Executor executor = executors.get(random.nextInt(executors.size()));
    long length = 500 + random.nextInt(4500);
    long pause = 100 + random.nextInt(3000);
    int choice = random.nextInt(4);
    Object victim =
        switch (kind) {
          case "kill", "term", "stop", "store1" -> node;
          case "storeall", "storeslow" -> site.store;
          default -> executor;
        };
    if (busy.putIfAbsent(victim, true) == null) {
      pool.submit(
          () -> {
            if (cause(kind, node, executor, length, pause, choice)) {
              busy.remove(victim);
            }
            return null;
          });
    }
  }

  /** Causes a fault and ends it; returns whether its victim can have another one. */
  private boolean cause(
      String kind, Node node, Executor executor, long length, long pause, int choice)
      throws InterruptedException {
    site.record.line("TROUBLE", kind, node.name, executor.id, length);
    switch (kind) {
      case "kill" -> {
        node.kill();
        Thread.sleep(pause);
        node.start();
        node.awaitReady(10_000);
      }
      case "term" -> {
        node.terminate();
        node.awaitExit(9000);
        Thread.sleep(pause);
        node.start();
        node.awaitReady(10_000);
      }
      case "stop" -> {
        node.signal("STOP");
        Thread.sleep(length);
        node.signal("CONT");
        Thread.sleep(500);
      }
      case "store1" -> {
        setFault(node, choice);
        Thread.sleep(length);
        node.door.fault = Store.Fault.NONE;
      }
      case "storeall" -> {
        site.nodes.forEach(each -> setFault(each, choice));
        Thread.sleep(length);
        site.nodes.forEach(each -> each.door.fault = Store.Fault.NONE);
        Thread.sleep(2000);
      }
      case "storeslow" -> {
        site.nodes.forEach(each -> each.door.callMs = 250);
        Thread.sleep(length);
        site.nodes.forEach(each -> each.door.callMs = 4);
        Thread.sleep(1000);
      }
      case "cut" -> {
        executor.cutFromSystem = true;
        Thread.sleep(length);
        executor.cutFromSystem = false;
      }
      case "unlist" -> {
        executor.cutFromStore = true;
        Thread.sleep(5000);
        executor.cutFromStore = false;
      }
      case "crash" -> {
        executor.crash();
        Thread.sleep(pause);
        executor.start();
        Thread.sleep(500);
      }
      case "late" -> {
        executor.lateShare = 0.4;
        Thread.sleep(length);
        executor.lateShare = 0;
      }
      case "fails" -> {
        executor.failsAll = true;
        Thread.sleep(length);
        executor.failsAll = false;
      }
      case "slow" -> {
        executor.answerDelay = 50 + pause / 5;
        Thread.sleep(length);
        executor.answerDelay = 0;
      }
      case "leave" -> {
        executor.drain();
        String id;
        synchronized (this) {
          id = "executor-" + added++;
        }
        site.executor(id, executor.labels.toArray(String[]::new));
        Thread.sleep(2500 + pause);
        executor.leave();
        return false;
      }
      default -> throw new IllegalArgumentException(kind);
    }
    return true;
  }

  private static void setFault(Node node, int choice) {
    Store.Fault[] faults = {
      Store.Fault.REFUSES, Store.Fault.SILENT, Store.Fault.LOSES, Store.Fault.LATE
    };
    node.door.share = choice < 2 ? 1 : 0.35;
    node.door.fault = faults[choice];
  }
}
