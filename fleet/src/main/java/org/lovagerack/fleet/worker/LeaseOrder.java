package org.lovagerack.fleet.worker;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Asks for a report, and may extend the lease of everything that runs on the worker.
 *
 * @param fencingToken token of the owner
 * @param deadlineMillis new end of the lease on the worker's clock; empty to leave it
 * @param acknowledgedThrough ends up to this number need not be listed again
 * @param longestWait how long the worker may wait for an end before it answers
 */
public record LeaseOrder(
    long fencingToken,
    OptionalLong deadlineMillis,
    long acknowledgedThrough,
    Duration longestWait) {}
