package org.lovagerack.fleet.worker;

import java.util.Set;
import org.lovagerack.fleet.job.Resources;

/**
 * What the platform's directory says of a worker.
 *
 * @param id identity
 * @param service service that it belongs to
 * @param address IP number and port
 * @param failureDomain failure domain
 * @param draining whether it leaves soon and takes no further tasks
 * @param capacity resources for tasks
 * @param labels labels, among them its kind and its rack
 * @param incarnation start time of the process, Unix milliseconds; 0 if the entry does not say
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
