package org.lovagerack.operator;

import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A call to an entry VM.
 *
 * @param method HTTP method
 * @param path path of the URL
 * @param headers headers besides the operator key
 * @param body JSON body
 * @param waitLimit how long the entry VM may wait before it answers
 * @param repeatable whether the call may be sent to another entry VM after its answer was lost
 */
record EntryCall(
    HttpMethod method,
    String path,
    Map<String, String> headers,
    Optional<String> body,
    Duration waitLimit,
    boolean repeatable) {

  EntryCall {
    headers = Map.copyOf(headers);
  }

  /** Returns a call without a body that may be repeated. */
  static EntryCall of(HttpMethod method, String path) {
    return new EntryCall(method, path, Map.of(), Optional.empty(), Duration.ZERO, true);
  }

  /** Returns a call with a JSON body that may be repeated. */
  static EntryCall post(String path, String body) {
    return new EntryCall(
        HttpMethod.POST,
        path,
        Map.of("Content-Type", "application/json"),
        Optional.of(body),
        Duration.ZERO,
        true);
  }

  EntryCall header(String name, String value) {
    Map<String, String> extended = new TreeMap<>(headers);
    extended.put(name, value);
    return new EntryCall(method, path, extended, body, waitLimit, repeatable);
  }

  /** Returns this call with the request that the entry VM waits for the job to finish. */
  EntryCall waiting(Duration limit) {
    EntryCall preferring = header("Prefer", "wait=" + limit.toSeconds());
    return new EntryCall(method, path, preferring.headers, body, limit, repeatable);
  }

  /** Returns this call as one that is never sent twice. */
  EntryCall once() {
    return new EntryCall(method, path, headers, body, waitLimit, false);
  }
}
