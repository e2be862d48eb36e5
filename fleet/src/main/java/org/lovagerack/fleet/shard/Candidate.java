package org.lovagerack.fleet.shard;

import java.util.Set;
import org.lovagerack.fleet.job.Resources;

/**
 * A worker as placement sees it.
 *
 * @param room free resources
 * @param labels labels of the worker
 * @param speed speed relative to the callers' estimates
 * @param distrusted whether the worker has failed its last runs
 * @param failedThisTask whether the task has failed there before
 * @param tasksOfStep tasks of the same step that run there
 */
record Candidate(
    Resources room,
    Set<String> labels,
    double speed,
    boolean distrusted,
    boolean failedThisTask,
    int tasksOfStep) {}
