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
 * @param keys keys that open protected interfaces
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
   * @param maxBodyBytes largest request body, bytes
   * @param maxHeaderBytes largest total size of the headers, bytes
   * @param maxConnections largest number of open connections
   * @param maxWait longest time that a request waits for an answer
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
   * @param address address to listen on, by which other entry VMs reach this one
   * @param known addresses of the other entry VMs of the failure domain
   * @param remote addresses of entry VMs of other failure domains, asked for the operator's
   *     read-back
   * @param maxFrameBytes largest frame, bytes
   */
  public record Peers(Address address, Set<String> known, Set<String> remote, int maxFrameBytes) {}

  /**
   * Settings of the platform's client.
   *
   * @param addresses addresses of the platform's services
   * @param key bearer key for them
   * @param timeout time after which a call counts as failed
   */
  public record Platform(List<String> addresses, String key, Duration timeout) {

    @Override
    public String toString() {
      return "Platform[addresses=" + addresses + ", timeout=" + timeout + "]";
    }
  }

  /**
   * Keys.
   *
   * @param cluster shared by all entry VMs; protects the peer protocol and submission identifiers
   * @param operator required of operators' calls
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
   * @param readiness time between the first "not ready" and the first refusal, so that the balancer
   *     notices before callers do
   * @param linger time for callers to read finished answers
   * @param limit time after which the process stops even if jobs are unfinished
   */
  public record Drain(Duration readiness, Duration linger, Duration limit) {}

  /** Layout of the log. */
  public enum LogFormat {
    TEXT,
    JSON
  }
}
