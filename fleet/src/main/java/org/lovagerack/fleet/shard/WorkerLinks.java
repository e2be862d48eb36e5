package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/** The links to all workers that the directory lists, or that may still run something. */
final class WorkerLinks {

  private final TimerService timer;
  private final WorkerCalls calls;
  private final WorkerDirectory directory;
  private final Predicate<WorkerId> mayUse;
  private final FleetBounds bounds;
  private final LongSupplier token;
  private final RunListener listener;
  private final Runnable changed;
  private final Map<String, WorkerLink> links = new TreeMap<>();
  private final Consumer<WorkerId> directoryListener = this::directoryChanged;
  private final ActiveTasks activeTasks = new ActiveTasks();
  private List<WorkerEntry> expected = List.of();
  private boolean opened;

  /**
   * Creates the links of a tenure; nothing is sent before {@link #open}.
   *
   * @param mayUse workers of the shard
   * @param changed told after each change of the directory
   */
  WorkerLinks(
      TimerService timer,
      WorkerCalls calls,
      WorkerDirectory directory,
      Predicate<WorkerId> mayUse,
      FleetBounds bounds,
      LongSupplier token,
      RunListener listener,
      Runnable changed) {
    this.timer = timer;
    this.calls = calls;
    this.directory = directory;
    this.mayUse = mayUse;
    this.bounds = bounds;
    this.token = token;
    this.listener = listener;
    this.changed = changed;
  }

  /**
   * Names the workers that an earlier owner may have used. The directory may not list some of them
   * now, because their entries lapsed while they were cut off from the store.
   */
  void expect(Collection<WorkerEntry> known) {
    expected = List.copyOf(known);
  }

  /** Asks all workers for their first report, and those that come later at once. */
  void open() {
    opened = true;
    directory.addListener(directoryListener);
    directory.entries().forEach(this::add);
    for (WorkerEntry entry : expected) {
      if (mayUse.test(entry.id()) && !links.containsKey(entry.id().value())) {
        add(entry);
        links.get(entry.id().value()).unlisted();
      }
    }
  }

  void close() {
    directory.removeListener(directoryListener);
    links.values().forEach(WorkerLink::close);
  }

  /** Forgets workers that are gone, and calls back for each. */
  void forgetGone(Consumer<WorkerId> forgotten) {
    for (WorkerLink link : all()) {
      if (link.gone()) {
        link.close();
        links.remove(link.id().value());
        forgotten.accept(link.id());
      }
    }
  }

  /** Returns whether a run of the task may be at work on some worker. */
  boolean mayBeAtWork(TaskId task) {
    return activeTasks.contains(task);
  }

  Collection<WorkerLink> all() {
    return List.copyOf(links.values());
  }

  /** Returns whether every worker has reported under the token. */
  boolean allJoined() {
    return opened && !links.isEmpty() && links.values().stream().allMatch(WorkerLink::joined);
  }

  /** Returns whether the runs on every worker that an earlier owner may have used are known. */
  boolean allCertain() {
    return !expected.isEmpty()
        && allJoined()
        && links.values().stream().noneMatch(WorkerLink::suspect);
  }

  /** Returns the cores of the workers that take tasks of a service, weighted by their speeds. */
  double capacity(String service, WorkerSpeeds speeds) {
    double cores = 0;
    for (WorkerLink link : links.values()) {
      if (link.entry().service().equals(service) && link.serving()) {
        cores += link.entry().capacity().cpuMillicores() / 1000.0 * speeds.speed(link.id());
      }
    }
    return cores;
  }

  private void directoryChanged(WorkerId id) {
    if (!mayUse.test(id)) {
      return;
    }
    Optional<WorkerEntry> entry = directory.find(id);
    WorkerLink link = links.get(id.value());
    if (entry.isPresent() && link == null) {
      add(entry.get());
    } else if (entry.isPresent()) {
      link.update(entry.get());
    } else if (link != null) {
      link.unlisted();
    }
    changed.run();
  }

  private void add(WorkerEntry entry) {
    if (mayUse.test(entry.id()) && !links.containsKey(entry.id().value())) {
      WorkerLink link = new WorkerLink(timer, calls, bounds, token, entry, activeTasks, listener);
      links.put(entry.id().value(), link);
      link.open();
    }
  }
}
