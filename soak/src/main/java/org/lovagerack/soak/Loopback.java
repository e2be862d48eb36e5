package org.lovagerack.soak;

import org.lovagerack.platform.standin.FreePort;

/**
 * Loopback address on which the entry VMs of this process listen. Each soak process uses its own
 * address, because concurrent soaks could otherwise occupy the port of a VM that is down.
 */
final class Loopback {

  private static final int OCTET_VALUES = 256;
  private static final int USABLE_OCTET_VALUES = 254;

  /** Address in 127.0.0.0/8, derived from the process identifier. */
  static final String HOST = host(ProcessHandle.current().pid());

  private Loopback() {}

  private static String host(long processId) {
    return "127.%d.%d.1"
        .formatted(
            1 + processId / OCTET_VALUES % USABLE_OCTET_VALUES,
            1 + processId % OCTET_VALUES % USABLE_OCTET_VALUES);
  }

  /** Returns the loopback address and a port as {@code HOST:PORT}. */
  static String address(int port) {
    return HOST + ":" + port;
  }

  /** Returns a free port that was not returned before. */
  static int freePort() {
    return FreePort.on(HOST);
  }
}
