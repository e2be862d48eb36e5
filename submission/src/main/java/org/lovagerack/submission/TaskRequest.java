package org.lovagerack.submission;

import java.time.Duration;
import org.lovagerack.foundation.data.Bytes;

/**
 * One task of a submitted job.
 *
 * @param body request body for the upstream
 * @param declaredBytes size of the body as declared by the caller, in bytes
 * @param declaredRunTime run time as declared by the caller
 * @param repeatable whether the task may be started more than once
 */
public record TaskRequest(
    Bytes body, long declaredBytes, Duration declaredRunTime, boolean repeatable) {}
