package org.lovagerack.soak;

import org.lovagerack.platform.standin.FreePort;

/**
 * The loopback address that the entry VMs of this process listen on. Each soak has its own, as two
 * that run at once would take each other's ports while a VM is down.
 */
final class Loopback {

  private static final int BYTE = 256;
  private static final int LARGEST_PART = 254;

  /** Address in 127.0.0.0/8 that follows from the process identifier. */
  static final String HOST = host(ProcessHandle.current().pid());

  private Loopback() {}

  private static String host(long processId) {
    return "127.%d.%d.1"
        .formatted(1 + processId / BYTE % LARGEST_PART, 1 + processId % BYTE % LARGEST_PART);
  }

  /** Returns a port of the address as IP number and port. */
  static String address(int port) {
    return HOST + ":" + port;
  }

  /** Returns a port that nobody listens on and that was not returned before. */
  static int freePort() {
    return FreePort.on(HOST);
  }
}
