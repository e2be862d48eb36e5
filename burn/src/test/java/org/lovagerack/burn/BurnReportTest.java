package org.lovagerack.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Guards against wrong burn rates and against pages that load external files or run scripts. */
final class BurnReportTest {

  private static final double EXACT = 1e-9;

  @Property(tries = 200, seed = "13")
  void ratesAndSharesMatchDirectCounts(@ForAll("outcomes") List<BurnOutcome> outcomes)
      throws Exception {
    BurnRecorder recorder = TestJob.recorder(new DrivenTimer());
    outcomes.forEach(outcome -> recorder.record("swap", outcome, Duration.ofMillis(80)));
    JsonNode swap = service(new BurnReport(recorder.snapshot(), List.of()), "swap");
    double bad = outcomes.stream().filter(outcome -> outcome != BurnOutcome.ON_TIME).count();
    double rate = outcomes.isEmpty() ? 0 : bad / outcomes.size() / 0.01;
    swap.get("burnRate")
        .forEach(value -> assertThat(value.asDouble()).isCloseTo(rate, relativeOffset(rate)));
    assertThat(swap.get("burnRate")).hasSize(4);
    assertThat(swap.get("budgetLeft").asDouble()).isCloseTo(1 - rate, relativeOffset(rate));
    double late = outcomes.stream().filter(outcome -> outcome == BurnOutcome.LATE).count();
    assertThat(swap.at("/budgetUsedBy/late").asDouble())
        .isCloseTo(bad == 0 ? 0 : late / bad, within(EXACT));
  }

  private static org.assertj.core.data.Offset<Double> relativeOffset(double scale) {
    return within(EXACT * (1 + scale));
  }

  @Provide
  Arbitrary<List<BurnOutcome>> outcomes() {
    return net.jqwik.api.Arbitraries.of(BurnOutcome.class).list().ofMaxSize(50);
  }

  @Test
  void leastBudgetComesFirstInAlignedColumns() {
    BurnRecorder recorder = TestJob.recorder(new DrivenTimer());
    recorder.record("swap", BurnOutcome.LATE, Duration.ofMillis(80));
    List<String> lines =
        new BurnReport(recorder.snapshot(), List.of("10.0.0.9:7001")).text().lines().toList();
    assertThat(lines).hasSize(4);
    assertThat(lines.get(1))
        .startsWith("swap ")
        .contains("99%", "-9900.0%")
        .endsWith("late 100.0%");
    assertThat(lines.get(2)).startsWith("alert ").contains("99.9%", "100.0%").endsWith("-");
    assertThat(lines.get(1).indexOf("late")).isEqualTo(lines.get(0).indexOf("budget used by"));
    assertThat(lines.get(3)).contains("unreachable").endsWith("10.0.0.9:7001");
  }

  @Test
  void pageIsSelfContainedAndEscapesNames() {
    BurnRecorder recorder = new BurnRecorder(new DrivenTimer());
    recorder.objective("<script>\"a\"&", 0.9);
    String page = new BurnReport(recorder.snapshot(), List.of("<b>")).html();
    assertThat(page)
        .contains("<svg", "&lt;script&gt;&quot;a&quot;&amp;", "&lt;b&gt;")
        .doesNotContain("<script", "<b>", "<link", "src=", "href=", "url(", "@import");
  }

  private static JsonNode service(BurnReport report, String name) throws Exception {
    for (JsonNode service : new ObjectMapper().readTree(report.json()).get("services")) {
      if (service.get("service").asText().equals(name)) {
        return service;
      }
    }
    throw new AssertionError("no service " + name);
  }
}
