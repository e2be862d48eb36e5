package org.lovagerack.dispatch;

/** Budget of extra starts (retries or hedges): a fraction of the first starts plus a reserve. */
final class StartBudget {

  // Allows a burst after a quiet period, without accumulating an unlimited budget.
  private static final double MAX_SAVED_STARTS = 10;

  private final double reserve;
  private double share;
  private double available;

  StartBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.available = reserve;
  }

  void setShare(double share) {
    this.share = share;
  }

  /** Adds the share of one first start, up to the limit of the unused budget. */
  void deposit() {
    available = Math.min(available + share, reserve + MAX_SAVED_STARTS);
  }

  /** Takes one extra start from the budget; returns false if the budget is exhausted. */
  boolean tryWithdraw() {
    if (share <= 0 || available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
