package org.lovagerack.fleet.worker;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Request for a report that can also extend the lease of all runs on the worker.
 *
 * @param fencingToken token of the owner
 * @param deadlineMillis new end of the lease on the worker's clock, milliseconds; empty to leave
 *     the lease unchanged
 * @param acknowledgedThrough number of the last result that the owner acknowledges; the worker no
 *     longer lists results up to it
 * @param maxWait maximum time that the worker may wait for a new result before it answers
 */
public record ReportRequest(
    long fencingToken, OptionalLong deadlineMillis, long acknowledgedThrough, Duration maxWait) {}
