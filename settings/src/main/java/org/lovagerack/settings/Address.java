package org.lovagerack.settings;

/**
 * An IP address and port.
 *
 * @param host IP address
 * @param port port; 0 lets the operating system choose
 */
public record Address(String host, int port) {

  /** Parses {@code host:port}; the settings schema has already validated the format. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
