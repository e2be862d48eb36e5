package org.lovagerack.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Test;

/** Guards against changes of the measured modules that break the benchmark. */
final class CapacityBenchmarkTest {

  /** Guards against a measurement that fails or prints no row. */
  @Test
  void everyMeasurementRunsAtTinySizes() throws Exception {
    Configurator.setRootLevel(Level.OFF);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    new CapacityBenchmark(
            CapacitySizes.tiny(), new PrintStream(output, true, StandardCharsets.UTF_8))
        .run();

    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains(
            "processor time of a job",
            "load report in the dispatcher",
            "heap of queued task",
            "to apply a note",
            "VM list",
            "platform reads per second",
            "from publish to in force",
            "until caught up, platform down",
            "processor time of an entry VM for peers",
            "load reports from each peer");
  }
}
