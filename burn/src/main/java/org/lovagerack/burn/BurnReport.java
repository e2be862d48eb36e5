package org.lovagerack.burn;

import java.util.Comparator;
import java.util.List;

/**
 * Report on the error budget of every service over the entry VMs that could be reached, sorted by
 * remaining budget, lowest first.
 */
public final class BurnReport {

  private final List<BurnRow> rows;
  private final List<String> unreachable;

  /**
   * Creates a report.
   *
   * @param snapshot merged snapshot of the entry VMs that were reached
   * @param unreachable addresses of the entry VMs whose jobs are missing
   */
  public BurnReport(BurnSnapshot snapshot, List<String> unreachable) {
    this.rows =
        snapshot.services().entrySet().stream()
            .map(entry -> new BurnRow(entry.getKey(), entry.getValue()))
            .sorted(Comparator.comparingDouble(row -> row.burn().budgetLeft()))
            .toList();
    this.unreachable = unreachable.stream().sorted().toList();
  }

  /** Returns the report as text with aligned columns. */
  public String text() {
    return BurnText.render(rows, unreachable);
  }

  /** Returns the report as a JSON object. */
  public String json() {
    return BurnJson.render(rows, unreachable);
  }

  /** Returns the report as a self-contained HTML page. */
  public String html() {
    return BurnHtml.render(rows, unreachable);
  }
}
