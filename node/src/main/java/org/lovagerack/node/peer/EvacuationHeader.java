package org.lovagerack.node.peer;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Header value for the evacuations that a process knows: the store version and the URL-encoded
 * failure domains, for example {@code 412;zone-1,zone-2}.
 */
final class EvacuationHeader {

  /** A quarter of the size that all headers of a call may have. */
  private static final int MAX_LENGTH = 4_096;

  private static final EventLog LOG = new EventLog(EvacuationHeader.class);

  private Set<String> encodedDomains = Set.of();
  private String encodedNames = "";

  /**
   * Decoded value.
   *
   * @param version store version up to which the set was read
   * @param domains evacuated failure domains
   */
  record Content(long version, Set<String> domains) {}

  /** Returns the value; empty if no set is known or the set is too large for a header. */
  Optional<String> encode(Evacuations evacuations) {
    if (!evacuations.known()) {
      return Optional.empty();
    }
    Set<String> domains = evacuations.domains();
    if (domains != encodedDomains) {
      encodedDomains = domains;
      encodedNames = encodeNames(domains);
      if (encodedNames.length() > MAX_LENGTH) {
        // The peers read the store themselves; calls with larger headers would fail.
        LOG.write(
            LogEvent.EVACUATIONS_NOT_SENT,
            "failureDomains",
            domains.size(),
            "length",
            encodedNames.length());
      }
    }
    return encodedNames.length() > MAX_LENGTH
        ? Optional.empty()
        : Optional.of(evacuations.version() + ";" + encodedNames);
  }

  private static String encodeNames(Set<String> domains) {
    return domains.stream()
        .sorted()
        .map(domain -> URLEncoder.encode(domain, StandardCharsets.UTF_8))
        .collect(Collectors.joining(","));
  }

  static Content decode(String value) throws IOException {
    int separator = value.indexOf(';');
    try {
      if (separator < 0) {
        throw new IOException("no version: " + value);
      }
      long version = Long.parseLong(value.substring(0, separator));
      if (version < 0) {
        throw new IOException("negative version: " + value);
      }
      Set<String> domains =
          Arrays.stream(value.substring(separator + 1).split(",", -1))
              .filter(name -> !name.isEmpty())
              .map(name -> URLDecoder.decode(name, StandardCharsets.UTF_8))
              .collect(Collectors.toUnmodifiableSet());
      return new Content(version, domains);
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed evacuations: " + value, e);
    }
  }
}
