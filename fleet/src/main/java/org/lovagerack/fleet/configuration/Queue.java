package org.lovagerack.fleet.configuration;

import java.time.Duration;

/**
 * A queue of jobs, addressed by host and path.
 *
 * @param name name, unique in a configuration
 * @param host host that callers address
 * @param prefix prefix of the path, in front of the job's identifier
 * @param service service whose workers run the queue's tasks
 * @param priority 0 is the most urgent
 * @param attempts number of failed runs of one task after which its job fails
 * @param stretch factor on a job's longest chain of work in its objective
 * @param targetLatency constant part of a job's objective
 */
public record Queue(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int attempts,
    double stretch,
    Duration targetLatency) {}
