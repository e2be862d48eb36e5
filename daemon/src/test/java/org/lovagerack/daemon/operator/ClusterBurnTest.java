package org.lovagerack.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.lovagerack.burn.BurnOutcome;
import org.lovagerack.burn.BurnRecorder;
import org.lovagerack.burn.BurnSnapshotCodec;
import org.lovagerack.burn.BurnWindow;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.membership.CallOutcome;

/** Guards against a report that omits an entry VM without listing it as unreachable. */
final class ClusterBurnTest {

  private final BurnRecorder recorder = new BurnRecorder(new DrivenTimer());
  private final ClusterBurn report = new ClusterBurn("vm-1", recorder);

  @Test
  void everyEntryVmIsEitherMergedOrListedAsUnreachable() throws Exception {
    recorder.objective("swap", 0.5);
    recorder.record("swap", BurnOutcome.LATE, Duration.ZERO);
    Bytes snapshot = ClusterBurn.encode(report.snapshot()).body();
    Map<String, CallOutcome> outcomes =
        new TreeMap<>(
            Map.of(
                "vm-2", new CallOutcome.Answered(200, snapshot),
                "vm-3", new CallOutcome.Answered(200, Bytes.ofText("{}")),
                "vm-4", new CallOutcome.Answered(503, snapshot),
                "vm-5", new CallOutcome.Unknown("no answer"),
                "vm-6", new CallOutcome.ConnectionRefused()));
    JsonNode merged =
        new ObjectMapper().readTree(report.merge(report.snapshot(), outcomes).body().toText());
    assertThat(merged.get("reached")).extracting(JsonNode::asText).containsExactly("vm-1", "vm-2");
    assertThat(merged.get("unreachable"))
        .extracting(JsonNode::asText)
        .containsExactly("vm-3", "vm-4", "vm-5", "vm-6");
    assertThat(
            BurnSnapshotCodec.fromJson(merged.get("snapshot"))
                .services()
                .get("swap")
                .windows()
                .get(BurnWindow.LONGEST)
                .of(BurnOutcome.LATE))
        .isEqualTo(2);
  }
}
