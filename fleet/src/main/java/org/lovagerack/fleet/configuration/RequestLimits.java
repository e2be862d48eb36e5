package org.lovagerack.fleet.configuration;

/**
 * Limits on callers' requests.
 *
 * @param bodyBytes largest body, bytes
 */
public record RequestLimits(int bodyBytes) {}
