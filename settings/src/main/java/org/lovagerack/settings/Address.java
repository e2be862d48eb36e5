package org.lovagerack.settings;

/**
 * An IP number and port.
 *
 * @param host IP number
 * @param port port; 0 lets the operating system choose
 */
public record Address(String host, int port) {

  /** Parses {@code host:port}; the schema of the settings has checked the form. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
