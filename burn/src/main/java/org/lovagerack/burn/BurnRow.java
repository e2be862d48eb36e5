package org.lovagerack.burn;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Report row of one service.
 *
 * @param name name of the service
 * @param burn counts, objective and response times of the service
 */
record BurnRow(String name, ServiceBurn burn) {

  static final double MEDIAN = 0.5;
  static final double HIGH_QUANTILE = 0.99;

  private static final String NO_VALUE = "-";
  private static final double PERCENT = 100;

  /** Returns the headings of {@link #cells}. */
  static List<String> headings() {
    List<String> headings = new ArrayList<>(List.of("service", "objective", "budget left"));
    for (BurnWindow window : BurnWindow.values()) {
      headings.add("burn " + window.wireName());
    }
    headings.addAll(
        List.of("jobs " + BurnWindow.LONGEST.wireName(), "p50", "p99", "budget used by"));
    return headings;
  }

  /** Returns the formatted cells, in the order of {@link #headings}. */
  List<String> cells() {
    List<String> cells = new ArrayList<>();
    cells.add(name);
    cells.add(objective(burn.objective()));
    cells.add(percent(burn.budgetLeft()));
    for (BurnWindow window : BurnWindow.values()) {
      cells.add(rate(burn.burnRate(window)));
    }
    cells.add(Long.toString(longest().total()));
    cells.add(quantile(MEDIAN));
    cells.add(quantile(HIGH_QUANTILE));
    cells.add(budgetUsedByText());
    return cells;
  }

  /** Returns the fraction of the bad jobs in the longest window by outcome. */
  Map<BurnOutcome, Double> budgetUsedBy() {
    EnumMap<BurnOutcome, Double> shares = new EnumMap<>(BurnOutcome.class);
    long bad = longest().bad();
    longest()
        .byOutcome()
        .forEach(
            (outcome, count) -> {
              if (outcome.bad()) {
                shares.put(outcome, bad == 0 ? 0 : (double) count / bad);
              }
            });
    return shares;
  }

  static String rate(double rate) {
    return String.format(Locale.ROOT, "%.2f", rate);
  }

  private BurnCounts longest() {
    return burn.windows().get(BurnWindow.LONGEST);
  }

  private String budgetUsedByText() {
    String text =
        budgetUsedBy().entrySet().stream()
            .filter(entry -> entry.getValue() > 0)
            .sorted(Map.Entry.<BurnOutcome, Double>comparingByValue().reversed())
            .map(entry -> entry.getKey().title() + " " + percent(entry.getValue()))
            .collect(Collectors.joining(", "));
    return text.isEmpty() ? NO_VALUE : text;
  }

  private String quantile(double share) {
    if (burn.responseTimes().count() == 0) {
      return NO_VALUE;
    }
    Duration time = burn.responseTimes().quantile(share);
    return time.toMillis() + " ms";
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * PERCENT);
  }

  /** Formats an objective with all digits, because 99.9 % and 99.99 % differ by a factor of ten. */
  private static String objective(double share) {
    return BigDecimal.valueOf(share).movePointRight(2).stripTrailingZeros().toPlainString() + "%";
  }
}
