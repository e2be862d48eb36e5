package org.lovagerack.burn;

import java.util.List;

/** Renders a report as an HTML page with a plot and a table. */
final class BurnHtml {

  private static final String HEAD =
      """
      <!DOCTYPE html>
      <html lang="en">
      <head>
      <meta charset="utf-8">
      <meta name="viewport" content="width=device-width, initial-scale=1">
      <title>Service-level burn</title>
      <style>
      body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #1c2430; background: #fff; }
      h1 { font-size: 1.4em; }
      h2 { font-size: 1.1em; margin-top: 1.6em; }
      .missing { border-left: 4px solid #b3261e; padding: 0.4em 0.8em; background: #fdecea; }
      .scroll { overflow-x: auto; }
      table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
      th, td { padding: 0.25em 0.7em; text-align: right; border-bottom: 1px solid #dde2e8; }
      th { border-bottom-width: 2px; white-space: nowrap; }
      th:first-child, td:first-child, th:last-child, td:last-child { text-align: left; }
      tr.overspent td:nth-child(3) { color: #b3261e; font-weight: 600; }
      svg text { font: 12px system-ui, sans-serif; fill: #1c2430; }
      </style>
      </head>
      <body>
      <h1>Service-level burn</h1>
      """;

  private BurnHtml() {}

  static String render(List<BurnRow> rows, List<String> unreachable) {
    StringBuilder html = new StringBuilder(HEAD);
    if (!unreachable.isEmpty()) {
      html.append("<p class=\"missing\">Not included, because they could not be reached: ")
          .append(escape(String.join(", ", unreachable)))
          .append("</p>\n");
    }
    html.append("<h2>Burn rate by window and service</h2>\n")
        .append("<p>At a rate of 1 the error budget lasts exactly as long as the window.</p>\n")
        .append("<div class=\"scroll\">\n");
    BurnPlot.append(html, rows);
    html.append("</div>\n<h2>Services</h2>\n<div class=\"scroll\">\n");
    appendTable(html, rows);
    return html.append("</div>\n</body>\n</html>\n").toString();
  }

  /** Escapes text for element content and for attributes in double quotes. */
  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  private static void appendTable(StringBuilder html, List<BurnRow> rows) {
    html.append("<table>\n");
    appendRow(html, "<tr>", "th", BurnRow.headings());
    for (BurnRow row : rows) {
      boolean overspent = row.burn().budgetLeft() < 0;
      appendRow(html, overspent ? "<tr class=\"overspent\">" : "<tr>", "td", row.cells());
    }
    html.append("</table>\n");
  }

  private static void appendRow(
      StringBuilder html, String start, String element, List<String> cells) {
    html.append(start);
    for (String cell : cells) {
      html.append('<').append(element).append('>').append(escape(cell));
      html.append("</").append(element).append('>');
    }
    html.append("</tr>\n");
  }
}
