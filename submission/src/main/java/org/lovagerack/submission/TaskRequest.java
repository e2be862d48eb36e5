package org.lovagerack.submission;

import java.time.Duration;
import org.lovagerack.foundation.data.Bytes;

/**
 * One task of a job as its caller describes it.
 *
 * @param body request body for the upstream
 * @param declaredBytes declared size of the body, bytes
 * @param declaredRunTime declared run time
 * @param repeatable whether the task may be started more than once
 */
public record TaskRequest(
    Bytes body, long declaredBytes, Duration declaredRunTime, boolean repeatable) {}
