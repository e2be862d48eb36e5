package org.lovagerack.foundation.data;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks addresses that come from other processes before they are used. */
public final class SocketAddresses {

  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private static final int IP_BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Returns whether a text is an IPv4 address and a port from 1 to 65,535, separated by a colon.
   */
  public static boolean isValid(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return false;
    }
    for (int group = 1; group <= IP_BYTES; group++) {
      if (Integer.parseInt(matcher.group(group)) > MAX_BYTE) {
        return false;
      }
    }
    int port = Integer.parseInt(matcher.group(IP_BYTES + 1));
    return port >= 1 && port <= MAX_PORT;
  }
}
