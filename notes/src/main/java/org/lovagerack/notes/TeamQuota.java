package org.lovagerack.notes;

/**
 * Limits of a team.
 *
 * @param team unique name
 * @param maxTasksInSystem tasks, waiting and in flight, that one failure domain holds for the team
 * @param startsPerSecond task starts a second in one failure domain
 */
public record TeamQuota(String team, int maxTasksInSystem, int startsPerSecond) {}
