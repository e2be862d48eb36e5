package org.lovagerack.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Guards against merges and encodings that lose or add jobs. */
final class BurnSnapshotTest {

  private static final int MAX_JSON_BYTES = 1_000_000;
  private static final int SERVICES = 180;
  private static final String HISTOGRAM = ResponseTimes.none().encode();

  @Property(tries = 200, seed = "12")
  void mergeEqualsRecordingInOnePlaceInAnyOrder(@ForAll("jobs") List<TestJob> jobs)
      throws LovagerackException {
    DrivenTimer timer = new DrivenTimer();
    BurnRecorder single = TestJob.recorder(timer);
    List<BurnRecorder> parts = new ArrayList<>();
    for (int i = 0; i < TestJob.ENTRY_VMS; i++) {
      parts.add(TestJob.recorder(timer));
    }
    for (TestJob job : jobs) {
      timer.advance(job.pause());
      job.recordIn(single);
      job.recordIn(parts.get(job.entryVm()));
    }
    BurnSnapshot a = parts.get(0).snapshot();
    BurnSnapshot b = parts.get(1).snapshot();
    BurnSnapshot c = parts.get(2).snapshot();
    assertThat(a.merge(b).merge(c)).isEqualTo(single.snapshot());
    assertThat(a.merge(b.merge(c))).isEqualTo(single.snapshot());
    assertThat(c.merge(b).merge(a)).isEqualTo(single.snapshot());
    assertThat(BurnSnapshot.empty().merge(a)).isEqualTo(a);
    assertThat(BurnSnapshotCodec.decode(BurnSnapshotCodec.encode(a))).isEqualTo(a);
  }

  @Provide
  Arbitrary<List<TestJob>> jobs() {
    return TestJob.any().list().ofMaxSize(60);
  }

  @Test
  void strictestObjectiveAppliesInEitherOrder() {
    BurnRecorder strict = TestJob.recorder(new DrivenTimer());
    BurnRecorder loose = TestJob.recorder(new DrivenTimer());
    loose.objective("swap", 0.9);
    assertThat(strict.snapshot().merge(loose.snapshot()))
        .isEqualTo(loose.snapshot().merge(strict.snapshot()))
        .isEqualTo(strict.snapshot());
  }

  /** An entry VM's snapshot must fit into one frame of the peer protocol. */
  @Test
  void snapshotOfAllServicesIsBelowOneMegabyteWithEveryBucketInUse() {
    BurnRecorder recorder = new BurnRecorder(new DrivenTimer());
    for (int service = 0; service < SERVICES; service++) {
      String name = "service-of-a-team-with-a-long-name-" + service;
      recorder.objective(name, 0.999);
      for (long millis = 0; millis <= ResponseTimes.MAX_MILLIS; millis++) {
        recorder.record(name, BurnOutcome.ON_TIME, Duration.ofMillis(millis * 31 % 65_536));
      }
    }
    assertThat(BurnSnapshotCodec.encode(recorder.snapshot()).getBytes(StandardCharsets.UTF_8))
        .hasSizeLessThan(MAX_JSON_BYTES);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "null",
        "[]",
        "{} {}",
        "{\"services\":[]}",
        "{\"services\":{\"swap\":7}}",
        "{\"services\":{\"swap\":{\"objective\":0.9,\"windows\":{}}}}"
      })
  void malformedDocumentIsReported(String json) {
    assertMalformed(json);
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "1.5", "\"1\"", "null", "9007199254740993", "1e30"})
  void invalidCountIsReported(String count) {
    assertMalformed(document("0.9", count, HISTOGRAM));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "1", "\"x\"", "null"})
  void objectiveOutOfRangeIsReported(String objective) {
    assertMalformed(document(objective, "1", HISTOGRAM));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "AAAA", "not base64!", "HISTFAAAAB542pNpmSzMwMDAxgABAA=="})
  void invalidHistogramIsReported(String histogram) {
    assertMalformed(document("0.9", "1", histogram));
  }

  /** The library allocates memory for the range in the header, which could be gigabytes. */
  @ParameterizedTest
  @CsvSource({"1,4611686018427387903,2", "1,65535,4", "2,65535,2"})
  void histogramOfAnotherRangeIsReported(long lowest, long highest, int digits) {
    Histogram wide = new Histogram(lowest, highest, digits);
    ByteBuffer buffer = ByteBuffer.allocate(wide.getNeededByteBufferCapacity());
    wide.encodeIntoCompressedByteBuffer(buffer);
    assertMalformed(document("0.9", "1", Base64.getEncoder().encodeToString(buffer.array())));
  }

  /** A truncated or changed histogram is either decoded or reported as a malformed request. */
  @Test
  void damagedHistogramCausesNoOtherException() throws LovagerackException {
    byte[] bytes = Base64.getDecoder().decode(HISTOGRAM);
    for (int i = 0; i < bytes.length; i++) {
      byte[] damaged = bytes.clone();
      damaged[i] ^= 0x55;
      decodeOrExpectMalformed(damaged);
      decodeOrExpectMalformed(java.util.Arrays.copyOf(bytes, i));
    }
  }

  private static void decodeOrExpectMalformed(byte[] histogram) {
    try {
      BurnSnapshotCodec.decode(document("0.9", "1", Base64.getEncoder().encodeToString(histogram)));
    } catch (LovagerackException e) {
      assertThat(e.failure().kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }
  }

  private static String document(String objective, String count, String histogram) {
    String counts =
        "{\"onTime\":%s,\"late\":0,\"refused\":0,\"failed\":0,\"mayHaveRun\":0}".formatted(count);
    return "{\"services\":{\"swap\":{\"objective\":%s,\"windows\":{\"5m\":%s,\"30m\":%s,\"1h\":%s,\"6h\":%s},\"responseTimes\":\"%s\"}}}"
        .formatted(objective, counts, counts, counts, counts, histogram);
  }

  private static void assertMalformed(String json) {
    assertThatThrownBy(() -> BurnSnapshotCodec.decode(json))
        .isInstanceOfSatisfying(
            LovagerackException.class,
            e -> assertThat(e.failure().kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST));
  }

  @Test
  void templateOfMalformedDocumentsIsReadable() throws LovagerackException {
    assertThat(BurnSnapshotCodec.decode(document("0.9", "1", HISTOGRAM)).services())
        .containsOnlyKeys("swap");
  }
}
