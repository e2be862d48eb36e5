package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.platform.standin.PlatformFixtures.Step;
import org.lovagerack.platform.standin.WorkerStandIn;

/** Checks that each violated guarantee is reported. */
final class GuaranteeCheckerTest {

  private static final String TASK = "job.0.0.0";

  private final DrivenTimer timer = new DrivenTimer();
  private final Disruptions disruptions = new Disruptions(timer);
  private final List<String> violations = new ArrayList<>();
  private final GuaranteeChecker checker =
      new GuaranteeChecker(timer, true, disruptions, violations::add);
  private final WorkerStandIn.Observer firstWorker = checker.observe(0);
  private final WorkerStandIn.Observer secondWorker = checker.observe(1);

  @Test
  void runAfterAStoppedRunIsAllowed() {
    JobHistory job = add(false);
    firstWorker.started(start(job, 1));
    firstWorker.ended(TASK, 1, "stopped");
    secondWorker.started(start(job, 2));
    secondWorker.ended(TASK, 2, "done");
    checker.checkState(job, "completed");

    assertThat(violations).isEmpty();
  }

  @Test
  void startBeforeTheEarlierStepEndedIsReported() {
    JobHistory job = new JobHistory("job", false, List.of(new Step(1, "a"), new Step(1, "b")));
    checker.add(job);
    firstWorker.started(start(job, 1));
    secondWorker.started(new WorkerStandIn.Start("job.0.1.0", 1, 1000, job.specification()));
    firstWorker.ended(TASK, 1, "done");
    secondWorker.ended("job.0.1.0", 1, "stopped");
    secondWorker.started(new WorkerStandIn.Start("job.0.1.0", 2, 1000, job.specification()));

    assertThat(violations)
        .containsExactly("job.0.1.0 was started before the step that it follows ended");
  }

  @Test
  void concurrentRunsOfOneTaskAreReported() {
    JobHistory job = add(false);
    firstWorker.started(start(job, 1));
    secondWorker.started(start(job, 2));

    assertThat(violations).singleElement().asString().contains("concurrently");
  }

  @Test
  void startAfterAnAcknowledgedResultOfADurableJobIsReported() {
    JobHistory job = add(true);
    firstWorker.started(start(job, 1));
    firstWorker.ended(TASK, 1, "done");
    firstWorker.acknowledged(TASK, 1);
    secondWorker.started(start(job, 2));

    assertThat(violations).singleElement().asString().contains("had been acknowledged");
  }

  @Test
  void resultAcknowledgedAfterAnotherStartIsReported() {
    JobHistory job = add(true);
    firstWorker.started(start(job, 1));
    firstWorker.ended(TASK, 1, "done");
    secondWorker.started(start(job, 2));
    firstWorker.acknowledged(TASK, 1);

    assertThat(violations).singleElement().asString().contains("acknowledged later");
  }

  @Test
  void unacknowledgedResultAllowsAnotherRun() {
    JobHistory job = add(true);
    firstWorker.started(start(job, 1));
    firstWorker.ended(TASK, 1, "done");
    secondWorker.started(start(job, 2));
    secondWorker.ended(TASK, 2, "done");
    secondWorker.acknowledged(TASK, 2);

    assertThat(violations).isEmpty();
  }

  @Test
  void unsubmittedWorkIsReported() {
    firstWorker.started(new WorkerStandIn.Start("other.0.0.0", 1, 1000, "work"));
    JobHistory job = add(false);
    firstWorker.started(new WorkerStandIn.Start(TASK, 1, 1000, "other work"));

    assertThat(violations).hasSize(2);
    assertThat(job.hasStarted()).isTrue();
  }

  @Test
  void startOfARefusedJobIsReported() {
    JobHistory job = add(false);
    job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    firstWorker.started(start(job, 1));

    assertThat(violations).singleElement().asString().contains("refused");
  }

  @Test
  void refusalAfterAStartIsReportedAtTheEnd() {
    JobHistory job = add(false);
    firstWorker.started(start(job, 1));
    job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    checker.checkAtEnd();

    assertThat(violations).singleElement().asString().contains("refused as not run");
  }

  @Test
  void stateNotConfirmedByTheWorkersIsReported() {
    JobHistory job = add(true);
    checker.checkState(job, "completed");
    checker.checkState(job, "failed");
    checker.checkState(job, "cancelled");

    assertThat(violations).hasSize(3);
  }

  @Test
  void unknownOrUnfinishedAcceptedJobIsReported() {
    JobHistory job = add(true);
    job.addAttempt(JobHistory.Attempt.ACCEPTED, timer.nanoTime());
    timer.advance(GuaranteeChecker.MAX_PROPAGATION_TIME.plusMillis(1));
    checker.checkUnknownJob(job, 0);
    checker.checkAtEnd();

    assertThat(violations).hasSize(2);
  }

  @Test
  void startOnADrainingWorkerIsReportedUnlessADisruptionOccurred() {
    checker.setDraining(0, true);
    timer.advance(GuaranteeChecker.MAX_PROPAGATION_TIME.plusMillis(1));
    firstWorker.started(start(add(false), 1));
    assertThat(violations).singleElement().asString().contains("is draining");

    disruptions.begin("store").run();
    firstWorker.ended(TASK, 1, "stopped");
    firstWorker.started(new WorkerStandIn.Start(TASK, 2, 1000, "work of job"));
    assertThat(violations).hasSize(1);
  }

  @Test
  void startOfACancelledJobIsReported() {
    JobHistory job = add(true);
    job.setCancelConfirmed(timer.nanoTime());
    timer.advance(GuaranteeChecker.MAX_CANCELLATION_TIME.plusMillis(1));
    firstWorker.started(start(job, 1));

    assertThat(violations).singleElement().asString().contains("cancelled");
  }

  @Test
  void olderConfigurationIsReportedUnlessTheProcessWasRestarted() {
    checker.checkConfiguration(0, 3);
    checker.checkConfiguration(0, 2);
    assertThat(violations).singleElement().asString().contains("went back");

    checker.recordRestart(0);
    checker.checkConfiguration(0, 1);
    assertThat(violations).hasSize(1);
  }

  @Test
  void lateConfigurationIsReportedUnlessTheStoreWasDisrupted() {
    long published = timer.nanoTime();
    timer.advance(GuaranteeChecker.MAX_PROPAGATION_TIME.plusMillis(1));
    checker.checkMissingConfiguration(0, 2, published, timer.nanoTime());
    assertThat(violations).singleElement().asString().contains("in time");

    disruptions.begin("store").run();
    checker.checkMissingConfiguration(1, 2, published, timer.nanoTime());
    assertThat(violations).hasSize(1);
  }

  @Test
  void requestInterruptedByAGracefulShutdownIsReported() {
    long sent = timer.nanoTime();
    timer.advance(Duration.ofMillis(1));
    Runnable end = disruptions.beginPlanned("process 0");
    timer.advance(Duration.ofMillis(1));
    checker.checkUnanswered(0, "submission", sent);
    assertThat(violations).hasSize(1);

    checker.checkUnanswered(0, "submission during the stop", timer.nanoTime());
    end.run();
    disruptions.begin("process 0").run();
    checker.checkUnanswered(0, "submission to a killed process", sent);
    assertThat(violations).hasSize(1);
  }

  private JobHistory add(boolean durable) {
    JobHistory job = new JobHistory("job", durable, List.of(new Step(1, "")));
    checker.add(job);
    return job;
  }

  private static WorkerStandIn.Start start(JobHistory job, int run) {
    return new WorkerStandIn.Start(TASK, run, 1000, job.specification());
  }
}
