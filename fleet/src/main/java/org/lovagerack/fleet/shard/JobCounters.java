package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.foundation.error.ErrorKind;

/** Receives events for the job metrics of this VM. */
public interface JobCounters {

  /** Counters that discard all events. */
  JobCounters NONE =
      new JobCounters() {
        @Override
        public void accepted() {}

        @Override
        public void refused(ErrorKind kind) {}

        @Override
        public void redirected() {}

        @Override
        public void abandoned() {}

        @Override
        public void startDelay(Duration delay) {}

        @Override
        public void taskStarted() {}

        @Override
        public void coldTaskStarted() {}

        @Override
        public void runLost() {}

        @Override
        public void runCrashed() {}

        @Override
        public void taskNotRepeated() {}

        @Override
        public void ended(JobState state, Duration responseTime) {}

        @Override
        public void reservationMade() {}

        @Override
        public void reservationKept() {}

        @Override
        public void reservationDropped() {}

        @Override
        public void taskBackfilled() {}
      };

  /** Counts an accepted job. */
  void accepted();

  /** Counts a refused job. */
  void refused(ErrorKind kind);

  /** Counts a job that was redirected to another shard. */
  void redirected();

  /** Counts a job that was ended because no caller is waiting for it. */
  void abandoned();

  /** Records the time between the submission of a job and the start of its first task. */
  void startDelay(Duration delay);

  /** Counts a started task. */
  void taskStarted();

  /** Counts a started task whose worker is cold, in addition to {@link #taskStarted}. */
  void coldTaskStarted();

  /** Counts a run that ended because its worker stopped answering. */
  void runLost();

  /** Counts a lost run whose worker turned out to have crashed. */
  void runCrashed();

  /** Counts a task that was not repeated after its runs were lost. */
  void taskNotRepeated();

  /** Counts a reservation of a worker for a task that fits nowhere. */
  void reservationMade();

  /** Counts a reservation whose task was placed. */
  void reservationKept();

  /** Counts a reservation that ended before its task was placed. */
  void reservationDropped();

  /** Counts a task placed on a worker that is reserved for another one. */
  void taskBackfilled();

  /** Records an ended job and the time since its submission. */
  void ended(JobState state, Duration responseTime);
}
