package org.lovagerack.node.settings;

import java.time.Duration;

/**
 * Settings of one entry VM.
 *
 * @param name name of the VM, for logs
 * @param failureDomain failure domain of the VM
 * @param clientAddress IP number and port for clients
 * @param readinessAddress IP number and port for the balancer's check
 * @param peerAddress IP number and port for other entry VMs
 * @param metricsAddress IP number and port for metrics
 * @param storeAddress IP number and port of the platform's store
 * @param shards number of shards that the jobs are spread over, the same on every VM
 * @param longestWorkerLease longest lease that a worker grants
 * @param cancelWithin time within which the tasks of a cancelled job must be gone
 * @param statusRetention time for which the state of an ended job is kept
 * @param stopWithin time between SIGTERM and the end of the process
 */
public record NodeSettings(
    String name,
    String failureDomain,
    String clientAddress,
    String readinessAddress,
    String peerAddress,
    String metricsAddress,
    String storeAddress,
    int shards,
    Duration longestWorkerLease,
    Duration cancelWithin,
    Duration statusRetention,
    Duration stopWithin) {}
