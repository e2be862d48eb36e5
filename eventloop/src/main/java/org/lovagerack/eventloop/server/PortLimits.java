package org.lovagerack.eventloop.server;

import java.time.Duration;

/**
 * Limits on the clients of one port.
 *
 * @param maxConnections maximum number of open connections
 * @param maxRequests maximum number of requests of one connection whose responses have not been
 *     sent
 * @param maxHeaderFields maximum number of header fields of one request
 * @param headerTimeout time limit for receiving the head of a request
 * @param bodyTimeout time limit for receiving the body of a request
 * @param writeTimeout time limit for sending a response
 * @param idleTimeout time after which a connection without a request is closed
 */
public record PortLimits(
    int maxConnections,
    int maxRequests,
    int maxHeaderFields,
    Duration headerTimeout,
    Duration bodyTimeout,
    Duration writeTimeout,
    Duration idleTimeout) {}
