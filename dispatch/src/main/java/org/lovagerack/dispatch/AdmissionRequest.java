package org.lovagerack.dispatch;

import java.time.Duration;

/**
 * Properties of a job that admission control checks before any of its tasks is queued.
 *
 * @param service name of the service
 * @param kind request kind
 * @param team team whose quota it counts against
 * @param urgent whether its tasks are queued ahead of tasks that are not urgent
 * @param taskCount number of tasks
 * @param maxDeclaredRunTime largest declared run time among the tasks
 * @param deadlineNanos time of the timer service by which the answer is due
 */
public record AdmissionRequest(
    String service,
    String kind,
    String team,
    boolean urgent,
    int taskCount,
    Duration maxDeclaredRunTime,
    long deadlineNanos) {}
