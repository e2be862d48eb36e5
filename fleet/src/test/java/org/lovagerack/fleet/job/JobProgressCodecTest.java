package org.lovagerack.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.foundation.data.Bytes;

/** Tests the stored form of the progress of a job. */
final class JobProgressCodecTest {

  @Test
  void progressIsReadAsItWasWritten() throws MalformedRecordException {
    JobProgress progress =
        new JobProgress(
            List.of(0, 2),
            Map.of(1, List.of(3, 10_001)),
            Map.of(
                4,
                List.of(
                    new LostRun("worker-1", "10.0.0.1:1", 17, true, true),
                    new LostRun("worker-2", "10.0.0.2:1", 0, false, false))),
            true,
            1_000);

    assertThat(JobCodec.decodeProgress(JobCodec.encode(progress))).isEqualTo(progress);
  }

  /** Guards against a submission to another shard that loses what the job has run. */
  @Test
  void submissionIsReadWithWhatTheJobHasRun() throws MalformedRecordException {
    Submission submission =
        FakeFleet.job("job-1", 2, 100, true)
            .continuing(
                new CarriedState(
                    new JobProgress(List.of(0), Map.of(1, List.of(2)), Map.of(), true, 1_000), 4));

    assertThat(
            JobCodec.decodeSubmission(
                JobCodec.encode(submission), submission.clientTimeout(), submission.entry(), true))
        .isEqualTo(submission);
  }

  @Test
  void progressOfAVersionWithoutLostRunsIsRead() throws MalformedRecordException {
    assertThat(JobCodec.decodeProgress(bytes("{\"done\":[1],\"failedRuns\":{}}")))
        .isEqualTo(new JobProgress(List.of(1), Map.of(), Map.of(), true, 0));
  }

  /** Guards against jobs that count as started because something is stored about them. */
  @Test
  void progressWithoutEndedRunsDoesNotMeanThatTheJobHasStarted() throws MalformedRecordException {
    JobProgress stored = new JobProgress(List.of(), Map.of(), Map.of(), false, 1_000);

    assertThat(JobCodec.decodeProgress(JobCodec.encode(stored)).started()).isFalse();
    assertThat(JobCodec.decodeProgress(bytes("{\"done\":[],\"failedRuns\":{}}")).started())
        .isFalse();
  }

  @Test
  void lostRunWithoutItsWorkerIsRejected() {
    assertThatThrownBy(
            () ->
                JobCodec.decodeProgress(
                    bytes("{\"done\":[],\"failedRuns\":{},\"lostRuns\":{\"0\":[{}]}}")))
        .isInstanceOf(MalformedRecordException.class)
        .hasMessageContaining("worker");
  }

  private static Bytes bytes(String json) {
    return Bytes.copyOf(json.getBytes(StandardCharsets.UTF_8));
  }
}
