package org.lovagerack.dispatch;

import java.time.Duration;
import org.lovagerack.foundation.data.Bytes;

/**
 * One attempt of a task at one upstream.
 *
 * @param upstream address of the upstream
 * @param path HTTP path
 * @param taskKey key of the task
 * @param attempt number of the attempt, from 1
 * @param remaining time left until the deadline of the task
 * @param body request body
 * @param freshConnection whether the attempt must not reuse an open connection
 */
public record AttemptRequest(
    String upstream,
    String path,
    String taskKey,
    int attempt,
    Duration remaining,
    Bytes body,
    boolean freshConnection) {}
