package org.lovagerack.node.settings;

import java.time.Duration;

/**
 * Settings of one entry VM.
 *
 * @param name unique name of the VM, for logs and random seeds
 * @param failureDomain failure domain of the VM
 * @param clientAddress IP address and port for clients
 * @param readinessAddress IP address and port for the load balancer's readiness check
 * @param peerAddress IP address and port for other entry VMs
 * @param advertisedPeerAddress IP address and port at which other entry VMs reach {@code
 *     peerAddress}; differs from it only if connections are forwarded
 * @param metricsAddress IP address and port for metrics
 * @param storeAddress IP address and port of the platform's store
 * @param processorShare fraction of a core that one thread of the VM can use
 * @param workersPerShard target number of workers per shard; used only once, to choose the number
 *     of shards
 * @param redirectJobs whether owners redirect new best-effort jobs to less loaded shards
 * @param maxWorkerLease maximum duration of the lease that a worker grants
 * @param statusRetention time for which the state of an ended job is retained
 * @param lookAheadPlacement whether owners reserve workers for tasks that fit nowhere
 * @param stopWithin time from SIGTERM to the end of the process
 * @param limits limits on clients
 */
public record NodeSettings(
    String name,
    String failureDomain,
    String clientAddress,
    String readinessAddress,
    String peerAddress,
    String advertisedPeerAddress,
    String metricsAddress,
    String storeAddress,
    double processorShare,
    int workersPerShard,
    boolean redirectJobs,
    Duration maxWorkerLease,
    Duration statusRetention,
    boolean lookAheadPlacement,
    Duration stopWithin,
    LimitSettings limits) {}
