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

/** The callers that wait for one job to finish. */
final class JobWaiters {

  private final TimerService timers;
  private final Supplier<JobStatus> progress;
  private final Set<Entry> entries = new LinkedHashSet<>();

  JobWaiters(TimerService timers, Supplier<JobStatus> progress) {
    this.timers = timers;
    this.progress = progress;
  }

  JobWaiter add(Duration limit, Consumer<JobStatus> callback) {
    Entry entry = new Entry(callback);
    entries.add(entry);
    entry.timeout = timers.after(limit, () -> entry.complete(progress.get()));
    return entry;
  }

  /** Passes the final status to all waiting callers and returns whether there were any. */
  boolean finish(JobStatus status) {
    List<Entry> remaining = new ArrayList<>(entries);
    remaining.forEach(entry -> entry.complete(status));
    return !remaining.isEmpty();
  }

  private final class Entry implements JobWaiter {
    private final Consumer<JobStatus> callback;
    private TimerSubscription timeout;

    private Entry(Consumer<JobStatus> callback) {
      this.callback = callback;
    }

    private void complete(JobStatus status) {
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
