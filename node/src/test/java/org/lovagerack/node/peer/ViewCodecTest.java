package org.lovagerack.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.job.CarriedState;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.error.ErrorKind;

/** Guards against messages between entry VMs that change when encoded and decoded. */
final class ViewCodecTest {

  @Test
  void viewSurvivesRoundTrip() throws Exception {
    FleetView view =
        new FleetView(
            41,
            List.of(worker("w")),
            List.of(worker("v"), worker("u")),
            Set.of(0, 7),
            List.of(new EntryVm(new EntryId(-5), "10.0.0.2:80", "b")));

    assertThat(ViewCodec.decode(ViewCodec.encode(view))).isEqualTo(view);
  }

  private static WorkerEntry worker(String id) {
    return new WorkerEntry(
        new WorkerId(id),
        "s",
        "10.0.0.1:80",
        "a",
        true,
        new Resources(16_000, 1024, 2),
        Set.of("x", "y"),
        17,
        Duration.ofMillis(4100));
  }

  @Test
  void everyAnswerSurvivesRoundTrip() throws Exception {
    List<JobAnswer> answers =
        List.of(
            new JobAnswer.Accepted(),
            new JobAnswer.State(JobState.FAILED),
            new JobAnswer.Cancelled(),
            new JobAnswer.Pending(12),
            new JobAnswer.HandedBack(
                new CarriedState(
                    new JobProgress(List.of(1), Map.of(2, List.of(7)), Map.of(), true, 9), 10_004)),
            new JobAnswer.UnknownJob(),
            new JobAnswer.Refused(ErrorKind.OVERLOADED, Duration.ofMillis(1500)),
            new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));

    for (JobAnswer answer : answers) {
      assertThat(PeerProtocol.decode(PeerProtocol.encode(answer))).isEqualTo(answer);
    }
  }
}
