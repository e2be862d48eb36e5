package org.lovagerack.burn;

import java.util.ArrayList;
import java.util.List;

/** Renders a report as a text table. */
final class BurnText {

  private static final String GAP = "  ";

  private BurnText() {}

  static String render(List<BurnRow> rows, List<String> unreachable) {
    List<List<String>> table = new ArrayList<>();
    table.add(BurnRow.headings());
    rows.forEach(row -> table.add(row.cells()));
    int[] widths = new int[BurnRow.headings().size()];
    for (List<String> cells : table) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], cells.get(i).length());
      }
    }
    StringBuilder text = new StringBuilder();
    table.forEach(cells -> appendLine(text, cells, widths));
    if (!unreachable.isEmpty()) {
      text.append("not included, unreachable: ")
          .append(String.join(", ", unreachable))
          .append('\n');
    }
    return text.toString();
  }

  /** Appends a line with the first and last column aligned left and all others aligned right. */
  private static void appendLine(StringBuilder text, List<String> cells, int[] widths) {
    StringBuilder line = new StringBuilder();
    int last = widths.length - 1;
    for (int i = 0; i <= last; i++) {
      String padding = " ".repeat(widths[i] - cells.get(i).length());
      boolean left = i == 0 || i == last;
      line.append(i == 0 ? "" : GAP).append(left ? cells.get(i) + padding : padding + cells.get(i));
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }
}
