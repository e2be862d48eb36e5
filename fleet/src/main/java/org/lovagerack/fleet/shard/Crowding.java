package org.lovagerack.fleet.shard;

/**
 * Decides which jobs wait in vain. Answers a load that stays above the capacity of the workers,
 * such as a burst while some of them stand still: jobs that can still meet their objective are
 * placed first, so a job that cannot is not placed as long as others wait, and its caller is better
 * told so at once than at the end of the time for which the job is of use.
 */
final class Crowding {

  /**
   * Looks in a row that find jobs waiting that can meet their objectives; a single one may fall
   * into the moment between two ends.
   */
  private static final int LOOKS_IN_A_ROW = 2;

  private int looks;

  /**
   * Takes what a periodic look at the queue has found.
   *
   * @param waitInTime whether jobs that may start, and that can meet their objectives, find no room
   */
  void look(boolean waitInTime) {
    looks = waitInTime ? looks + 1 : 0;
  }

  /**
   * Returns whether a job that has not started waits in vain.
   *
   * @param meetsObjective whether it would meet its objective if it started now
   * @param ofUse whether it would be of use if it started now
   */
  boolean waitsInVain(boolean meetsObjective, boolean ofUse) {
    return !ofUse || (!meetsObjective && looks >= LOOKS_IN_A_ROW);
  }
}
