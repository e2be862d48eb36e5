package org.lovagerack.fleet.configuration;

/**
 * Limits on callers' requests.
 *
 * @param bodyBytes maximum size of a body, in bytes
 */
public record RequestLimits(int bodyBytes) {}
