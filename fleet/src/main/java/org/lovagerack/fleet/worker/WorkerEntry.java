package org.lovagerack.fleet.worker;

import java.util.Set;
import org.lovagerack.fleet.job.Resources;

/**
 * Entry of a worker in the platform's directory.
 *
 * @param id identity
 * @param service service that the worker belongs to
 * @param address IP number and port
 * @param failureDomain failure domain
 * @param draining whether the worker shuts down soon and accepts no further tasks
 * @param capacity total resources for tasks
 * @param labels labels, among them its kind and its rack
 * @param incarnation start time of the process, Unix milliseconds; 0 if the entry does not contain
 *     it
 */
public record WorkerEntry(
    WorkerId id,
    String service,
    String address,
    String failureDomain,
    boolean draining,
    Resources capacity,
    Set<String> labels,
    long incarnation) {

  public WorkerEntry {
    labels = Set.copyOf(labels);
  }
}
