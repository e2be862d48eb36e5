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
 * @param advertisedPeerAddress IP number and port under which other entry VMs reach {@code
 *     peerAddress}; the same unless something forwards connections to it
 * @param metricsAddress IP number and port for metrics
 * @param storeAddress IP number and port of the platform's store
 * @param processorShare share of each core that the VM has, which one thread can use
 * @param workersPerShard workers that one owner is to order; decides the number of shards once
 * @param longestWorkerLease longest lease that a worker grants
 * @param statusRetention time for which the state of an ended job is kept
 * @param stopWithin time between SIGTERM and the end of the process
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
    Duration longestWorkerLease,
    Duration statusRetention,
    Duration stopWithin) {}
