package org.lovagerack.membership;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Converts peer addresses, each an IP address and a port, to socket addresses. */
final class PeerAddress {

  private static final int MAX_PORT = 65_535;

  private PeerAddress() {}

  /**
   * @throws IllegalArgumentException if the text is not an IP address and a port
   */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] host =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    int port = colon < 0 ? -1 : parsePort(text.substring(colon + 1));
    if (host == null || port < 0) {
      throw new IllegalArgumentException("not an IP address and a port: " + text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(host), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address and a port: " + text, e);
    }
  }

  static boolean valid(String text) {
    try {
      return parse(text).getPort() > 0;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Returns the address with its port replaced if that is 0. */
  static String withActualPort(String text, int port) {
    return parse(text).getPort() != 0 ? text : text.substring(0, text.lastIndexOf(':') + 1) + port;
  }

  private static int parsePort(String text) {
    try {
      int port = Integer.parseInt(text);
      return port <= MAX_PORT ? port : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
