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
 * One service in a report.
 *
 * @param name name of the service
 * @param burn its burn
 */
record BurnRow(String name, ServiceBurn burn) {

  static final double MEDIAN = 0.5;
  static final double HIGH = 0.99;

  private static final String NOTHING = "-";
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

  /** Returns the columns for people. */
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
    cells.add(quantile(HIGH));
    cells.add(usedByText());
    return cells;
  }

  /** Returns the share that each bad outcome has in the bad jobs of the longest window. */
  Map<BurnOutcome, Double> usedBy() {
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

  private String usedByText() {
    String text =
        usedBy().entrySet().stream()
            .filter(entry -> entry.getValue() > 0)
            .sorted(Map.Entry.<BurnOutcome, Double>comparingByValue().reversed())
            .map(entry -> entry.getKey().title() + " " + percent(entry.getValue()))
            .collect(Collectors.joining(", "));
    return text.isEmpty() ? NOTHING : text;
  }

  private String quantile(double share) {
    if (burn.responseTimes().count() == 0) {
      return NOTHING;
    }
    Duration time = burn.responseTimes().quantile(share);
    return time.toMillis() + " ms";
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * PERCENT);
  }

  /** Shows every digit, because 99.9 % and 99.99 % differ by a factor of ten. */
  private static String objective(double share) {
    return BigDecimal.valueOf(share).movePointRight(2).stripTrailingZeros().toPlainString() + "%";
  }
}
