package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** The callers that wait for one job. */
final class JobWaits {

  private final TimerService timers;
  private final Supplier<JobStatus> progress;
  private final Set<Entry> entries = new LinkedHashSet<>();

  JobWaits(TimerService timers, Supplier<JobStatus> progress) {
    this.timers = timers;
    this.progress = progress;
  }

  JobWait add(Duration limit, Consumer<JobStatus> callback) {
    Entry entry = new Entry(callback);
    entries.add(entry);
    entry.timeout = timers.after(limit, () -> entry.end(progress.get()));
    return entry;
  }

  /** Calls everybody back and returns whether anybody waited. */
  boolean finish(JobStatus status) {
    List<Entry> waiting = new ArrayList<>(entries);
    waiting.forEach(entry -> entry.end(status));
    return !waiting.isEmpty();
  }

  private final class Entry implements JobWait {
    private final Consumer<JobStatus> callback;
    private TimerSubscription timeout;

    private Entry(Consumer<JobStatus> callback) {
      this.callback = callback;
    }

    private void end(JobStatus status) {
      if (entries.remove(this)) {
        timeout.cancel();
        callback.accept(status);
      }
    }

    @Override
    public void cancel() {
      if (entries.remove(this)) {
        timeout.cancel();
      }
    }
  }
}
