package org.lovagerack.node.settings;

import java.time.Duration;

/**
 * Limits on clients, in addition to those of the platform's configuration.
 *
 * @param clientMemoryBytes memory for the requests of clients
 * @param peerMemoryBytes memory for the requests of other entry VMs
 * @param clientConnections maximum number of connections of the client port
 * @param peerConnections maximum number of connections of the peer port
 * @param requestsPerConnection maximum number of requests of one connection without a response
 * @param headerFields maximum number of header fields of a request
 * @param headerTimeout time limit for receiving the head of a request
 * @param bodyTimeout time limit for receiving the body of a request
 * @param writeTimeout time limit for sending a response
 * @param idleTimeout time after which an idle client connection is closed
 */
public record LimitSettings(
    long clientMemoryBytes,
    long peerMemoryBytes,
    int clientConnections,
    int peerConnections,
    int requestsPerConnection,
    int headerFields,
    Duration headerTimeout,
    Duration bodyTimeout,
    Duration writeTimeout,
    Duration idleTimeout) {

  private static final long MEGABYTE = 1 << 20;

  /** Memory of an entry VM process without its heap: code, classes, threads and buffers. */
  private static final long PROCESS_MEGABYTES = 96;

  /** Leaves three quarters of the memory to jobs, workers and garbage. */
  private static final int CLIENT_SHARE = 4;

  /** Peers forward requests that clients of other VMs have sent, with smaller overhead. */
  private static final int PEER_SHARE = 8;

  /** Even a VM with little memory has to hold a few bodies of legal size. */
  private static final long MIN_MEMORY_BYTES = 4 * MEGABYTE;

  /** With the peers' share, leaves a quarter of the descriptors to connections to other VMs. */
  private static final int CLIENT_DESCRIPTOR_SHARE = 4;

  /**
   * Larger than that of clients: the pools of other VMs keep idle connections for minutes, and a
   * request that arrives while its connection is closed has an unknown outcome.
   */
  private static final int PEER_DESCRIPTOR_SHARE = 2;

  /** More than 20 clients with a connection for each job of 1.5 s need. */
  private static final int MAX_CLIENT_CONNECTIONS = 1024;

  /** About 90 connections from each of 45 VMs. */
  private static final int MAX_PEER_CONNECTIONS = 4096;

  /** Clients wait for each response, so one request is usual. */
  private static final int MAX_REQUESTS = 64;

  /** Ten times what HTTP client libraries send; a head of the legal size holds up to 4,096. */
  private static final int MAX_HEADER_FIELDS = 1000;

  /** Twice the platform's {@code header_timeout_ms}. */
  private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(6);

  /** Longer than the 10 s for which clients wait without a timeout header. */
  private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(15);

  /** Twice the platform's {@code idle_timeout_ms}. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  /**
   * Returns the defaults, which no client within the platform's limits reaches.
   *
   * @param heapBytes maximum size of the heap
   * @param memoryMegabytes memory of the VM
   * @param fileDescriptors maximum number of open file descriptors
   */
  static LimitSettings defaults(long heapBytes, long memoryMegabytes, long fileDescriptors) {
    long available =
        Math.min(heapBytes, Math.max(0, memoryMegabytes - PROCESS_MEGABYTES) * MEGABYTE);
    return new LimitSettings(
        Math.max(MIN_MEMORY_BYTES, available / CLIENT_SHARE),
        Math.max(MIN_MEMORY_BYTES, available / PEER_SHARE),
        (int) Math.clamp(fileDescriptors / CLIENT_DESCRIPTOR_SHARE, 1, MAX_CLIENT_CONNECTIONS),
        (int) Math.clamp(fileDescriptors / PEER_DESCRIPTOR_SHARE, 1, MAX_PEER_CONNECTIONS),
        MAX_REQUESTS,
        MAX_HEADER_FIELDS,
        HEADER_TIMEOUT,
        TRANSFER_TIMEOUT,
        TRANSFER_TIMEOUT,
        IDLE_TIMEOUT);
  }

  /** Returns the defaults of a process whose VM is not limited further. */
  public static LimitSettings defaults() {
    return defaults(Runtime.getRuntime().maxMemory(), Integer.MAX_VALUE, Integer.MAX_VALUE);
  }
}
