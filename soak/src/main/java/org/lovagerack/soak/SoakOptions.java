package org.lovagerack.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Size and length of a soak.
 *
 * @param length time for which faults are injected
 * @param vms number of entry VM processes
 * @param workers number of workers
 * @param jobsPerSecond jobs that clients submit
 * @param timedPromises whether promises with a time bound are checked too; they need a machine that
 *     is not busy
 * @param folder folder for settings and logs of each seed
 */
record SoakOptions(
    Duration length, int vms, int workers, int jobsPerSecond, boolean timedPromises, Path folder) {

  SoakOptions {
    if (vms < 1 || workers < 1 || jobsPerSecond < 1) {
      throw new IllegalArgumentException(
          "a soak needs a VM, a worker and a job: " + vms + ", " + workers + ", " + jobsPerSecond);
    }
  }
}
