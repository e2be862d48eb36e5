package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.platform.standin.WorkerStandIn;

/** Each promise of the soak is seen to be broken when it is. */
final class PromisesTest {

  private static final String TASK = "job.0.0.0";

  private final DrivenTimer timer = new DrivenTimer();
  private final Disruptions disruptions = new Disruptions(timer);
  private final List<String> broken = new ArrayList<>();
  private final Promises promises = new Promises(timer, true, disruptions, broken::add);
  private final WorkerStandIn.Observer first = promises.observe(0);
  private final WorkerStandIn.Observer second = promises.observe(1);

  @Test
  void runThatFollowsAStoppedRunIsAllowed() {
    JobHistory job = add(false);
    first.started(start(job, 1));
    first.ended(TASK, 1, "stopped");
    second.started(start(job, 2));
    second.ended(TASK, 2, "done");
    promises.checkState(job, "completed");

    assertThat(broken).isEmpty();
  }

  @Test
  void secondRunBesideTheFirstIsReported() {
    JobHistory job = add(false);
    first.started(start(job, 1));
    second.started(start(job, 2));

    assertThat(broken).singleElement().asString().contains("beside");
  }

  @Test
  void startAfterTheAcknowledgedEndOfAKeptJobIsReported() {
    JobHistory job = add(true);
    first.started(start(job, 1));
    first.ended(TASK, 1, "done");
    first.acknowledged(TASK, 1);
    second.started(start(job, 2));

    assertThat(broken).singleElement().asString().contains("acknowledged end");
  }

  @Test
  void endThatIsAcknowledgedAfterAnotherStartIsReported() {
    JobHistory job = add(true);
    first.started(start(job, 1));
    first.ended(TASK, 1, "done");
    second.started(start(job, 2));
    first.acknowledged(TASK, 1);

    assertThat(broken).singleElement().asString().contains("now acknowledged");
  }

  @Test
  void endThatVanishedWithItsWorkerAllowsAnotherRun() {
    JobHistory job = add(true);
    first.started(start(job, 1));
    first.ended(TASK, 1, "done");
    second.started(start(job, 2));
    second.ended(TASK, 2, "done");
    second.acknowledged(TASK, 2);

    assertThat(broken).isEmpty();
  }

  @Test
  void workThatNobodySubmittedIsReported() {
    first.started(new WorkerStandIn.Start("other.0.0.0", 1, 1000, "work"));
    JobHistory job = add(false);
    first.started(new WorkerStandIn.Start(TASK, 1, 1000, "other work"));

    assertThat(broken).hasSize(2);
    assertThat(job.hasStarted()).isTrue();
  }

  @Test
  void refusedJobThatStartsIsReported() {
    JobHistory job = add(false);
    job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    first.started(start(job, 1));

    assertThat(broken).singleElement().asString().contains("refused");
  }

  @Test
  void refusalAfterAStartIsReportedAtTheEnd() {
    JobHistory job = add(false);
    first.started(start(job, 1));
    job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    promises.checkEnd();

    assertThat(broken).singleElement().asString().contains("refused as not run");
  }

  @Test
  void stateThatTheWorkersDoNotConfirmIsReported() {
    JobHistory job = add(true);
    promises.checkState(job, "completed");
    promises.checkState(job, "failed");
    promises.checkState(job, "cancelled");

    assertThat(broken).hasSize(3);
  }

  @Test
  void acceptedJobThatIsUnknownOrDoesNotEndIsReported() {
    JobHistory job = add(true);
    job.addAttempt(JobHistory.Attempt.ACCEPTED, timer.nanoTime());
    timer.advance(Promises.CHANGE_WITHIN.plusMillis(1));
    promises.checkUnknown(job, 0);
    promises.checkEnd();

    assertThat(broken).hasSize(2);
  }

  @Test
  void startOnADrainingWorkerIsReportedUnlessSomethingWasDisturbed() {
    promises.setDrained(0, true);
    timer.advance(Promises.CHANGE_WITHIN.plusMillis(1));
    first.started(start(add(false), 1));
    assertThat(broken).singleElement().asString().contains("drains");

    disruptions.begin("store").run();
    first.ended(TASK, 1, "stopped");
    first.started(new WorkerStandIn.Start(TASK, 2, 1000, "work of job"));
    assertThat(broken).hasSize(1);
  }

  @Test
  void startOfACancelledJobIsReported() {
    JobHistory job = add(true);
    job.setCancelled(timer.nanoTime());
    timer.advance(Promises.CANCEL_WITHIN.plusMillis(1));
    first.started(start(job, 1));

    assertThat(broken).singleElement().asString().contains("cancelled");
  }

  @Test
  void olderConfigurationIsReportedUnlessAnotherProcessAnswers() {
    promises.checkConfiguration(0, 3);
    promises.checkConfiguration(0, 2);
    assertThat(broken).singleElement().asString().contains("went back");

    promises.restarted(0);
    promises.checkConfiguration(0, 1);
    assertThat(broken).hasSize(1);
  }

  @Test
  void configurationThatIsMissingTooLongIsReportedUnlessTheStoreWasAway() {
    long published = timer.nanoTime();
    timer.advance(Promises.CHANGE_WITHIN.plusMillis(1));
    promises.checkMissingConfiguration(0, 2, published, timer.nanoTime());
    assertThat(broken).singleElement().asString().contains("in time");

    disruptions.begin("store").run();
    promises.checkMissingConfiguration(1, 2, published, timer.nanoTime());
    assertThat(broken).hasSize(1);
  }

  @Test
  void requestThatIsCutByAPlannedStopIsReported() {
    long sent = timer.nanoTime();
    timer.advance(Duration.ofMillis(1));
    Runnable end = disruptions.beginPlanned("process 0");
    timer.advance(Duration.ofMillis(1));
    promises.checkUnanswered(0, "submission", sent);
    assertThat(broken).hasSize(1);

    promises.checkUnanswered(0, "submission during the stop", timer.nanoTime());
    end.run();
    disruptions.begin("process 0").run();
    promises.checkUnanswered(0, "submission to a killed process", sent);
    assertThat(broken).hasSize(1);
  }

  private JobHistory add(boolean kept) {
    JobHistory job = new JobHistory("job", kept, 1);
    promises.add(job);
    return job;
  }

  private static WorkerStandIn.Start start(JobHistory job, int run) {
    return new WorkerStandIn.Start(TASK, run, 1000, job.specification());
  }
}
