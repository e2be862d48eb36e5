package org.lovagerack.notes;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The canonical form of an upstream's IP address and port. The address identifies the upstream, so
 * a second form of the same address would define a second upstream.
 */
final class UpstreamAddressFormat {

  static final String DESCRIPTION =
      "IP:port, as in 10.0.0.1:8080 or, without leading zeros or '::', [fd00:0:0:0:0:0:0:1]:8080";

  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
  private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
  private static final Pattern HOST_AND_PORT = Pattern.compile("(.+):([1-9][0-9]{0,4})");
  private static final int MAX_PORT = 65535;

  private UpstreamAddressFormat() {}

  static boolean matches(String address) {
    Matcher matcher = HOST_AND_PORT.matcher(address);
    return matcher.matches()
        && Integer.parseInt(matcher.group(2)) <= MAX_PORT
        && (IPV4.matcher(matcher.group(1)).matches() || isIpv6(matcher.group(1)));
  }

  private static boolean isIpv6(String host) {
    if (!host.matches("\\[[0-9a-f:]+]")) {
      return false;
    }
    try {
      // A host in brackets is parsed as a literal without a DNS lookup.
      InetAddress parsed = InetAddress.getByName(host);
      return parsed instanceof Inet6Address && host.equals("[" + parsed.getHostAddress() + "]");
    } catch (UnknownHostException e) {
      return false;
    }
  }
}
