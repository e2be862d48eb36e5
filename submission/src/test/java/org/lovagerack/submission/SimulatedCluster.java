package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/**
 * Three processes that forward submissions to their owners as an entry VM does, and the callers'
 * submissions, each with an oracle of what it may observe.
 */
final class SimulatedCluster {

  enum Operation {
    ISSUE,
    SUBMIT,
    SUBMIT_OTHER_BODY,
    DELAY_DUPLICATE,
    DELIVER_DUPLICATE,
    START_TASK,
    SUCCEED_TASK,
    FAIL_TASK,
    CANCEL,
    RESTART,
    PAUSE_OR_RESUME,
    ADVANCE,
    TOGGLE_REFUSAL,
    DRAIN,
    HAND_OVER
  }

  /** One step; {@code process} and {@code item} select modulo the number that exist. */
  record Step(Operation operation, int process, int item) {}

  private record Message(OwnerProcess entry, SubmissionOracle submission, String body) {}

  private static final List<Duration> ADVANCES =
      List.of(
          Duration.ofMillis(300),
          Duration.ofSeconds(7),
          Duration.ofSeconds(59),
          Duration.ofSeconds(61),
          Duration.ofMinutes(5));

  private final List<TaskSpec> starts = new ArrayList<>();
  private final List<OwnerProcess> processes = new ArrayList<>();
  private final List<SubmissionOracle> submissions = new ArrayList<>();
  private final List<Message> delayed = new ArrayList<>();
  private long nextIncarnation = 1;

  SimulatedCluster() {
    for (int i = 0; i < 3; i++) {
      processes.add(new OwnerProcess(i, nextIncarnation++, starts));
    }
  }

  void run(Step step) throws LovagerackException {
    int index = step.process % processes.size();
    OwnerProcess process = processes.get(index);
    switch (step.operation) {
      case ISSUE -> issue(process, 1 + step.item % 3);
      case SUBMIT -> pick(submissions, step).ifPresent(s -> submit(process, s, s.body()));
      case SUBMIT_OTHER_BODY ->
          pick(submissions, step).ifPresent(s -> submit(process, s, s.otherBody()));
      case DELAY_DUPLICATE ->
          pick(submissions, step).ifPresent(s -> delayed.add(new Message(process, s, s.body())));
      case DELIVER_DUPLICATE ->
          pick(delayed, step)
              .ifPresent(
                  message -> {
                    delayed.remove(message);
                    submit(message.entry, message.submission, message.body);
                  });
      case START_TASK -> openTask(process, step).ifPresent(FakeDispatcher.Task::start);
      case SUCCEED_TASK -> openTask(process, step).ifPresent(FakeDispatcher.Task::succeed);
      case FAIL_TASK ->
          openTask(process, step)
              .ifPresent(
                  t -> t.fail(step.item % 2 == 0 ? RunOutcome.RAN : RunOutcome.MAY_HAVE_RUN));
      case CANCEL -> pick(submissions, step).ifPresent(this::cancel);
      case RESTART -> processes.set(index, new OwnerProcess(index, nextIncarnation++, starts));
      case PAUSE_OR_RESUME -> process.togglePause();
      case ADVANCE -> processes.forEach(p -> p.advance(ADVANCES.get(step.item % ADVANCES.size())));
      case TOGGLE_REFUSAL -> process.dispatcher.refuses = !process.dispatcher.refuses;
      case DRAIN -> process.jobs.drain(() -> {});
      case HAND_OVER -> handOver(process);
    }
    for (SubmissionOracle submission : submissions) {
      read(process, submission);
    }
  }

  private void issue(OwnerProcess process, int count) throws LovagerackException {
    if (process.isPaused || process.jobs.isDraining()) {
      return;
    }
    for (SubmissionId id : process.jobs.issue(count)) {
      assertThat(submissions).extracting(SubmissionOracle::id).doesNotContain(id);
      submissions.add(
          new SubmissionOracle(id, submissions.size(), process.timer.nanoTime(), starts));
    }
  }

  /** Submits through an entry VM; what cannot be delivered now is delivered later. */
  private void submit(OwnerProcess entry, SubmissionOracle submission, String body) {
    OwnerProcess decider = decider(entry, submission.id());
    if (entry.isPaused || decider.isPaused) {
      delayed.add(new Message(entry, submission, body));
      return;
    }
    Optional<SubmissionId> id = Optional.of(submission.id());
    JobRequest request = OwnerProcess.request(body, submission.taskCount());
    submission.expectDecision(decider, body);
    SubmitResult result = decider.jobs.submit(id, request, Bytes.ofText(body));
    submission.observe(result, body, decider);
  }

  private void cancel(SubmissionOracle submission) {
    OwnerProcess owner = processAt(submission.id());
    if (!owner.isPaused) {
      try {
        owner.jobs.cancel(submission.id());
      } catch (LovagerackException e) {
        submission.observe(e.failure(), owner);
      }
    }
  }

  private void read(OwnerProcess entry, SubmissionOracle submission) {
    OwnerProcess decider = decider(entry, submission.id());
    if (entry.isPaused || decider.isPaused) {
      return;
    }
    try {
      submission.observe(decider.jobs.find(submission.id()), decider);
    } catch (LovagerackException e) {
      submission.observe(e.failure(), decider);
    }
    submission.checkStarts();
  }

  private void handOver(OwnerProcess process) {
    if (process.jobs.isDraining() && !process.isPaused) {
      Handover handover = process.jobs.handover();
      processes.stream()
          .filter(peer -> peer != process && !peer.isPaused)
          .forEach(peer -> peer.jobs.acceptHandover(handover));
    }
  }

  private OwnerProcess decider(OwnerProcess entry, SubmissionId id) {
    return entry.jobs.findHandedOver(id).isPresent() ? entry : processAt(id);
  }

  private OwnerProcess processAt(SubmissionId id) {
    return processes.stream()
        .filter(process -> process.identity.peerAddress().equals(id.peerAddress()))
        .findFirst()
        .orElseThrow();
  }

  private static Optional<FakeDispatcher.Task> openTask(OwnerProcess process, Step step) {
    return process.isPaused ? Optional.empty() : pick(process.dispatcher.open, step);
  }

  private static <T> Optional<T> pick(List<T> items, Step step) {
    return items.isEmpty() ? Optional.empty() : Optional.of(items.get(step.item % items.size()));
  }
}
