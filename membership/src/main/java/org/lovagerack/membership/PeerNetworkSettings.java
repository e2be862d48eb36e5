package org.lovagerack.membership;

import java.util.Optional;
import org.lovagerack.foundation.data.Bytes;

/**
 * Settings of the peer network.
 *
 * @param failureDomain own failure domain
 * @param listenAddress IP address and port to listen on; port 0 selects a free port
 * @param advertisedAddress address at which peers reach this process, if it differs from the
 *     listening address
 * @param incarnation random number that identifies this process
 * @param clusterKey key shared by all entry VMs, at least 16 bytes
 * @param maxFrameBytes maximum frame size in bytes
 * @param maxUnauthenticatedConnections maximum number of accepted connections that have not
 *     finished the handshake
 * @param loadBytesPerSecond maximum traffic for load updates in bytes per second, including
 *     estimated TCP and IP headers
 */
public record PeerNetworkSettings(
    String failureDomain,
    String listenAddress,
    Optional<String> advertisedAddress,
    long incarnation,
    Bytes clusterKey,
    int maxFrameBytes,
    int maxUnauthenticatedConnections,
    int loadBytesPerSecond) {

  /** Default maximum frame size. */
  public static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

  /** Default maximum number of unauthenticated connections. */
  public static final int DEFAULT_MAX_UNAUTHENTICATED_CONNECTIONS = 64;

  /**
   * Default traffic for load updates. The limit for all control traffic of an entry VM is 16 KB/s:
   * 5 KB/s are sent, about as much is received, and the rest remains for keep-alive frames, TCP
   * acknowledgements, release notes and platform calls.
   */
  public static final int DEFAULT_LOAD_BYTES_PER_SECOND = 5_000;

  private static final int MIN_KEY_BYTES = 16;

  /**
   * @throws IllegalArgumentException if a value is out of range or an address is not an IP address
   *     and port
   */
  public PeerNetworkSettings {
    require(!failureDomain.isEmpty(), "failure domain is empty");
    PeerAddress.parse(listenAddress);
    advertisedAddress.ifPresent(PeerAddress::parse);
    require(
        clusterKey.length() >= MIN_KEY_BYTES, "cluster key has " + clusterKey.length() + " bytes");
    require(
        maxFrameBytes >= FrameDecoder.UNAUTHENTICATED_LIMIT_BYTES, "frame limit " + maxFrameBytes);
    require(
        maxUnauthenticatedConnections > 0,
        "unauthenticated connection limit " + maxUnauthenticatedConnections);
    require(loadBytesPerSecond > 0, "load bytes per second " + loadBytesPerSecond);
  }

  /** Returns settings with the default limits. */
  public static PeerNetworkSettings withDefaults(
      String failureDomain, String listenAddress, long incarnation, Bytes clusterKey) {
    return new PeerNetworkSettings(
        failureDomain,
        listenAddress,
        Optional.empty(),
        incarnation,
        clusterKey,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_UNAUTHENTICATED_CONNECTIONS,
        DEFAULT_LOAD_BYTES_PER_SECOND);
  }

  private static void require(boolean condition, String problem) {
    if (!condition) {
      throw new IllegalArgumentException("peer network: " + problem);
    }
  }
}
