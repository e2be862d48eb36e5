package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.foundation.error.ErrorKind;

/** Receives what is counted about the jobs of this VM. */
public interface TenureCounters {

  /** Counters that nobody reads. */
  TenureCounters NONE =
      new TenureCounters() {
        @Override
        public void accepted() {}

        @Override
        public void refused(ErrorKind kind) {}

        @Override
        public void abandoned() {}

        @Override
        public void startDelay(Duration delay) {}

        @Override
        public void taskStarted() {}

        @Override
        public void ended(JobState state, Duration responseTime) {}
      };

  /** A job was stored. */
  void accepted();

  /** A job was refused. */
  void refused(ErrorKind kind);

  /** A job was ended because nobody waits for it. */
  void abandoned();

  /** The first task of a job has started, the given time after its acceptance. */
  void startDelay(Duration delay);

  /** A task has started. */
  void taskStarted();

  /** A job has ended, the given time after its acceptance. */
  void ended(JobState state, Duration responseTime);
}
