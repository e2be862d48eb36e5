package org.lovagerack.settings;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Settings of one entry VM.
 *
 * @param region region of the VM
 * @param failureDomain failure domain of the VM
 * @param callers HTTP interface
 * @param peers peer protocol
 * @param platform platform services
 * @param keys keys for protected interfaces
 * @param drain planned stop
 * @param logFormat layout of the log
 */
public record Settings(
    String region,
    String failureDomain,
    Callers callers,
    Peers peers,
    Platform platform,
    Keys keys,
    Drain drain,
    LogFormat logFormat) {

  /**
   * Settings of the HTTP interface.
   *
   * @param address address to listen on
   * @param maxBodyBytes maximum size of a request body in bytes
   * @param maxHeaderBytes maximum total size of the headers in bytes
   * @param maxConnections maximum number of open connections
   * @param maxWait maximum time that a request waits for an answer
   */
  public record Callers(
      Address address,
      int maxBodyBytes,
      int maxHeaderBytes,
      int maxConnections,
      Duration maxWait) {}

  /**
   * Settings of the peer protocol.
   *
   * @param address address to listen on, at which other entry VMs reach this one
   * @param known addresses of the other entry VMs of the failure domain
   * @param remote addresses of entry VMs of other failure domains, which are queried for operator
   *     requests about the deployment in force
   * @param maxFrameBytes maximum frame size in bytes
   */
  public record Peers(Address address, Set<String> known, Set<String> remote, int maxFrameBytes) {}

  /**
   * Settings of the platform client.
   *
   * @param addresses addresses of the platform's services
   * @param key bearer key for these services
   * @param timeout timeout of a call
   */
  public record Platform(List<String> addresses, String key, Duration timeout) {

    @Override
    public String toString() {
      return "Platform[addresses=" + addresses + ", timeout=" + timeout + "]";
    }
  }

  /**
   * Secret keys.
   *
   * @param cluster shared by all entry VMs; protects the peer protocol and submission identifiers
   * @param operator required for operator calls
   */
  public record Keys(String cluster, String operator) {

    @Override
    public String toString() {
      return "Keys[hidden]";
    }
  }

  /**
   * Settings of a planned stop.
   *
   * @param readiness time between reporting "not ready" and refusing submissions, so that the load
   *     balancer stops sending requests first
   * @param linger time for which callers can still read finished answers
   * @param limit time after which the process stops even with unfinished jobs
   */
  public record Drain(Duration readiness, Duration linger, Duration limit) {}

  /** Layout of the log. */
  public enum LogFormat {
    TEXT,
    JSON
  }
}
