package org.lovagerack.fleet.shard;

import java.util.Set;
import org.lovagerack.fleet.job.Resources;

/**
 * A worker that a task may be placed on.
 *
 * @param freeResources free resources of the worker
 * @param labels labels of the worker
 * @param speed speed relative to the callers' duration estimates, reduced while it is cold
 * @param cold whether the worker is still slow after its start
 * @param unreliable whether the most recent runs on the worker failed
 * @param failedThisTask whether the task has already failed on the worker
 * @param occupied whether other tasks run on the worker
 * @param tasksOfStep number of tasks of the same step that are running on the worker
 */
record Candidate(
    Resources freeResources,
    Set<String> labels,
    double speed,
    boolean cold,
    boolean unreliable,
    boolean failedThisTask,
    boolean occupied,
    int tasksOfStep) {}
