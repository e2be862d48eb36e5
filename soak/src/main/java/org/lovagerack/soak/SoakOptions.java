package org.lovagerack.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Size and duration of a soak test.
 *
 * @param length time for which faults are injected
 * @param vms number of entry VM processes
 * @param workers number of workers
 * @param jobsPerSecond jobs that clients submit per second
 * @param checkTimeBounds whether guarantees with a time bound are checked, which needs a machine
 *     that is not busy
 * @param folder folder for settings and logs of each seed
 */
record SoakOptions(
    Duration length,
    int vms,
    int workers,
    int jobsPerSecond,
    boolean checkTimeBounds,
    Path folder) {

  SoakOptions {
    if (vms < 1 || workers < 1 || jobsPerSecond < 1) {
      throw new IllegalArgumentException(
          "a soak needs at least one VM, worker and job per second: "
              + vms
              + ", "
              + workers
              + ", "
              + jobsPerSecond);
    }
  }
}
