package org.lovagerack.membership;

import java.util.Optional;
import org.lovagerack.foundation.data.Bytes;

/**
 * Settings of the peer network.
 *
 * @param failureDomain own failure domain
 * @param listenAddress IP number and port to listen on; port 0 takes a free one
 * @param advertisedAddress address under which peers reach this process, if it differs from the
 *     listening address
 * @param incarnation random number of this process
 * @param clusterKey key shared by all entry VMs, at least 16 bytes
 * @param maxFrameBytes limit of a frame in bytes
 * @param maxUnprovenConnections limit of accepted connections that have not finished the handshake
 * @param loadBytesPerSecond bytes per second to send on load updates, with estimated TCP and IP
 *     headers
 */
public record PeerNetworkSettings(
    String failureDomain,
    String listenAddress,
    Optional<String> advertisedAddress,
    long incarnation,
    Bytes clusterKey,
    int maxFrameBytes,
    int maxUnprovenConnections,
    int loadBytesPerSecond) {

  /** Default limit of a frame. */
  public static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

  /** Default limit of unproven connections. */
  public static final int DEFAULT_MAX_UNPROVEN_CONNECTIONS = 64;

  /**
   * Default load traffic. A node may spend 16 KB/s on control: 5 KB/s are sent, about as much is
   * received, and the rest is left to keep-alive frames, acknowledgements of TCP, release notes and
   * the platform.
   */
  public static final int DEFAULT_LOAD_BYTES_PER_SECOND = 5_000;

  private static final int MIN_KEY_BYTES = 16;

  /**
   * @throws IllegalArgumentException if a value is out of range or an address is not an IP number
   *     and port
   */
  public PeerNetworkSettings {
    require(!failureDomain.isEmpty(), "failure domain is empty");
    PeerAddress.parse(listenAddress);
    advertisedAddress.ifPresent(PeerAddress::parse);
    require(
        clusterKey.length() >= MIN_KEY_BYTES, "cluster key has " + clusterKey.length() + " bytes");
    require(maxFrameBytes >= FrameDecoder.UNPROVEN_LIMIT_BYTES, "frame limit " + maxFrameBytes);
    require(maxUnprovenConnections > 0, "unproven connection limit " + maxUnprovenConnections);
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
        DEFAULT_MAX_UNPROVEN_CONNECTIONS,
        DEFAULT_LOAD_BYTES_PER_SECOND);
  }

  private static void require(boolean condition, String problem) {
    if (!condition) {
      throw new IllegalArgumentException("peer network: " + problem);
    }
  }
}
