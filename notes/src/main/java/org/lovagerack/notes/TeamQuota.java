package org.lovagerack.notes;

/**
 * Limits of a team.
 *
 * @param team unique name
 * @param maxTasksInSystem maximum number of queued and running tasks of the team in one failure
 *     domain
 * @param startsPerSecond maximum number of task starts per second in one failure domain
 */
public record TeamQuota(String team, int maxTasksInSystem, int startsPerSecond) {}
