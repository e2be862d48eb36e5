package org.lovagerack.operator;

/**
 * Address of an entry VM's HTTP interface.
 *
 * @param host IP address or host name
 * @param port port, 1 to 65535
 */
record EntryAddress(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Parses {@code host:port}, with an IPv6 address in brackets.
   *
   * @throws IllegalArgumentException if the text is not of this form or the port is out of range
   */
  static EntryAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    if (host.isEmpty() || (host.contains(":") && !bracketed)) {
      throw new IllegalArgumentException("'" + text + "' is not host:port");
    }
    return new EntryAddress(
        bracketed ? host.substring(1, host.length() - 1) : host,
        parsePort(text.substring(colon + 1), text));
  }

  private static int parsePort(String port, String text) {
    if (port.matches("\\d{1,5}")) {
      int number = Integer.parseInt(port);
      if (number >= 1 && number <= MAX_PORT) {
        return number;
      }
    }
    throw new IllegalArgumentException("'" + text + "' has no port from 1 to " + MAX_PORT);
  }

  @Override
  public String toString() {
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
  }
}
