package org.lovagerack.dispatch;

import java.time.Duration;
import org.lovagerack.foundation.data.Bytes;

/**
 * A task to be run by the dispatcher.
 *
 * @param key unique key of the task, the same on every attempt
 * @param service name of its service
 * @param kind request kind, such as {@code parent-alert}; tasks of one kind have similar run times
 * @param team team whose quota it counts against
 * @param urgent whether it is queued ahead of tasks that are not urgent
 * @param repeatable whether it may be started more than once
 * @param declaredRunTime run time that the caller declares; often inaccurate
 * @param deadlineNanos time of the timer service by which the answer is due
 * @param body request body for the upstream
 */
public record TaskSpec(
    String key,
    String service,
    String kind,
    String team,
    boolean urgent,
    boolean repeatable,
    Duration declaredRunTime,
    long deadlineNanos,
    Bytes body) {}
