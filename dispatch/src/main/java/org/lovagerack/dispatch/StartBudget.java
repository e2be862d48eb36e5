package org.lovagerack.dispatch;

/** Extra starts that a service may do: a share of its first starts plus a reserve. */
final class StartBudget {

  // Lets a burst follow a quiet period, but not all that a long quiet period would have earned.
  private static final double LARGEST_SAVING = 10;

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

  /** Adds the share of one first start; unused budget is limited so that it cannot pile up. */
  void earn() {
    available = Math.min(available + share, reserve + LARGEST_SAVING);
  }

  /** Takes one extra start; returns false if the budget is used up. */
  boolean take() {
    if (share <= 0 || available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
