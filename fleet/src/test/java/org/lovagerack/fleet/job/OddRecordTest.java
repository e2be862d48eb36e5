package org.lovagerack.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.foundation.data.Bytes;

/**
 * Stored records and messages between VMs with odd parts are rejected as malformed. Guards against
 * owners that fail in the middle of a recovery or a takeover.
 */
final class OddRecordTest {

  private static final String QUEUE =
      "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\",\"priority\":0,"
          + "\"attempts\":2,\"stretch\":1.6,\"targetMillis\":60}";
  private static final String STEP =
      "{\"tasks\":2,\"cpuMillicores\":100,\"memoryMegabytes\":1,\"accelerators\":0,"
          + "\"estimatedMillis\":50,\"requiredLabel\":\"\",\"dataRack\":\"\",\"maxPerWorker\":0}";
  private static final String JOB =
      "{\"id\":\"j\",\"acceptedByToken\":1000,\"queue\":"
          + QUEUE
          + ",\"specification\":\"x\",\"bestEffort\":false,\"steps\":["
          + STEP
          + "]}";
  private static final String LEASE =
      "{\"tenure\":1000,\"token\":1000,\"sequence\":3,\"address\":\"10.0.0.1:1\","
          + "\"incarnation\":5,\"durationMillis\":400}";

  @Provide
  Arbitrary<String> values() {
    return Arbitraries.oneOf(
        Arbitraries.integers()
            .between(1, 5_000)
            .map(depth -> "[".repeat(depth) + "]".repeat(depth)),
        Arbitraries.longs().map(String::valueOf),
        Arbitraries.doubles().map(String::valueOf),
        Arbitraries.of(
            "1e400",
            "-1",
            "9223372036854775807",
            "null",
            "true",
            "\"x\"",
            "{}",
            "[]",
            "2000000000"));
  }

  @Provide
  Arbitrary<Integer> positions() {
    return Arbitraries.integers().between(0, 15);
  }

  /** Replaces the value of one of the numeric or textual fields. */
  private static Bytes withOddValue(String record, int position, String value) {
    List<String> fields =
        List.of(
            "\"tasks\":2",
            "\"cpuMillicores\":100",
            "\"estimatedMillis\":50",
            "\"maxPerWorker\":0",
            "\"attempts\":2",
            "\"stretch\":1.6",
            "\"targetMillis\":60",
            "\"acceptedByToken\":1000",
            "\"requiredLabel\":\"\"",
            "\"specification\":\"x\"",
            "\"tenure\":1000",
            "\"token\":1000",
            "\"sequence\":3",
            "\"durationMillis\":400",
            "\"address\":\"10.0.0.1:1\"",
            "\"incarnation\":5");
    String field = fields.get(position);
    return Bytes.ofText(record.replace(field, field.substring(0, field.indexOf(':') + 1) + value));
  }

  @Property(tries = 500, seed = "21")
  void oddJobIsReadOrMalformed(@ForAll("positions") int position, @ForAll("values") String value) {
    try {
      SubmittedJob job = JobCodec.decodeJob(withOddValue(JOB, position, value));
      Duration objective = Objective.of(job.queue(), job.spec());
      assertThat(Objective.usefulTime(objective).toNanos()).isNotNegative();
      assertThat(job.spec().taskCount()).isBetween(1, 10_000);
    } catch (MalformedRecordException e) {
      assertThat(e.getMessage()).isNotEmpty();
    }
  }

  @Property(tries = 500, seed = "22")
  void oddLeaseIsReadOrMalformed(
      @ForAll("positions") int position, @ForAll("values") String value) {
    try {
      LeaseRecord lease = LeaseRecord.decode(withOddValue(LEASE, position, value));
      assertThat(lease.duration()).isBetween(Duration.ofMillis(1), Duration.ofMinutes(1));
      assertThat(lease.token()).isNotNegative();
    } catch (MalformedRecordException e) {
      assertThat(e.getMessage()).isNotEmpty();
    }
  }

  @Test
  void leaseThatLastsForEverIsMalformed() {
    assertThatThrownBy(() -> LeaseRecord.decode(withOddValue(LEASE, 13, "9223372036854775807")))
        .isInstanceOf(MalformedRecordException.class);
  }
}
