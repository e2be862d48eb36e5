package org.lovagerack.operator;

import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A call to an entry VM. Every call is safe to repeat at another entry VM after its answer was
 * lost: submissions carry an identifier, notes a unique id, and drain takes a single entry VM.
 *
 * @param method HTTP method
 * @param path path of the URL
 * @param headers headers besides the operator key
 * @param body JSON body
 * @param waitLimit how long the entry VM may hold the request before it answers
 */
record EntryCall(
    HttpMethod method,
    String path,
    Map<String, String> headers,
    Optional<String> body,
    Duration waitLimit) {

  EntryCall {
    headers = Map.copyOf(headers);
  }

  /** Returns a call without a body. */
  static EntryCall withoutBody(HttpMethod method, String path) {
    return new EntryCall(method, path, Map.of(), Optional.empty(), Duration.ZERO);
  }

  /** Returns a call with a JSON body. */
  static EntryCall post(String path, String body) {
    return new EntryCall(
        HttpMethod.POST,
        path,
        Map.of("Content-Type", "application/json"),
        Optional.of(body),
        Duration.ZERO);
  }

  EntryCall withHeader(String name, String value) {
    Map<String, String> extended = new TreeMap<>(headers);
    extended.put(name, value);
    return new EntryCall(method, path, extended, body, waitLimit);
  }

  /** Returns this call with a header that delays the answer until the job ends. */
  EntryCall withWait(Duration limit) {
    EntryCall withPreference = withHeader("Prefer", "wait=" + limit.toSeconds());
    return new EntryCall(method, path, withPreference.headers, body, limit);
  }
}
