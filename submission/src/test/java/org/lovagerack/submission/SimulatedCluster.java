package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/** Simulates three processes that forward submissions to their owners, and the calls of callers. */
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

  /**
   * One step; {@code process} and {@code item} are indices modulo the number of existing objects.
   */
  record Step(Operation operation, int process, int item) {}

  private record Message(OwnerProcess entry, SubmissionOracle submission, String body) {}

  static final Set<Operation> FREQUENT = EnumSet.range(Operation.ISSUE, Operation.SUCCEED_TASK);

  private static final List<Duration> ADVANCES =
      Stream.of("PT0.3S", "PT7S", "PT59S", "PT61S", "PT5M").map(Duration::parse).toList();

  /** Kinds of results and final statuses that callers received. */
  final Set<String> observed = new TreeSet<>();

  private final List<String> starts = new ArrayList<>();
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
    Optional<SubmissionOracle> submission = pick(submissions, step);
    Optional<OwnerProcess.Task> task =
        process.isPaused ? Optional.empty() : pick(process.openTasks, step);
    switch (step.operation) {
      case ISSUE -> issue(process, 1 + step.item % 3);
      case SUBMIT -> submission.ifPresent(s -> submit(new Message(process, s, s.body())));
      case SUBMIT_OTHER_BODY ->
          submission.ifPresent(s -> submit(new Message(process, s, s.otherBody())));
      case DELAY_DUPLICATE ->
          submission.ifPresent(s -> delayed.add(new Message(process, s, s.body())));
      case DELIVER_DUPLICATE -> pick(delayed, step).filter(delayed::remove).ifPresent(this::submit);
      case START_TASK -> task.ifPresent(OwnerProcess.Task::start);
      case SUCCEED_TASK -> task.ifPresent(OwnerProcess.Task::succeed);
      case FAIL_TASK ->
          task.ifPresent(
              t -> t.fail(step.item % 2 == 0 ? RunOutcome.RAN : RunOutcome.MAY_HAVE_RUN));
      case CANCEL -> submission.ifPresent(s -> readOrCancel(process, s, true));
      case RESTART -> processes.set(index, new OwnerProcess(index, nextIncarnation++, starts));
      case PAUSE_OR_RESUME -> process.togglePause();
      case ADVANCE ->
          processes.forEach(each -> each.advance(ADVANCES.get(step.item % ADVANCES.size())));
      case TOGGLE_REFUSAL -> process.refusesJobs = !process.refusesJobs;
      case DRAIN -> process.jobs.drain(() -> {});
      case HAND_OVER -> handOver(process);
    }
    submissions.forEach(each -> readOrCancel(process, each, false));
  }

  private void issue(OwnerProcess process, int count) throws LovagerackException {
    if (!process.isPaused && !process.jobs.isDraining()) {
      for (SubmissionId id : process.jobs.issue(count)) {
        submissions.add(new SubmissionOracle(id, submissions.size(), process, starts));
      }
    }
  }

  /** Submits through an entry VM. A message to or through a paused process is delivered later. */
  private void submit(Message message) {
    SubmissionOracle submission = message.submission;
    OwnerProcess handler = handler(message.entry, submission.id());
    if (message.entry.isPaused || handler.isPaused) {
      delayed.add(message);
      return;
    }
    submission.predictResult(handler, message.body);
    SubmitResult result = handler.submit(submission.id(), message.body, submission.taskCount());
    observed.add(
        result instanceof SubmitResult.Refused refused
            ? refused.failure().kind().name()
            : result.getClass().getSimpleName());
    submission.observe(result, message.body, handler);
  }

  /** Reads or cancels a submission through an entry VM. */
  private void readOrCancel(OwnerProcess entry, SubmissionOracle submission, boolean cancel) {
    OwnerProcess handler = handler(entry, submission.id());
    if (entry.isPaused || handler.isPaused) {
      return;
    }
    try {
      if (cancel) {
        submission.observe(Optional.of(handler.jobs.cancel(submission.id())), handler);
      } else {
        submission.observe(handler.jobs.find(submission.id()), handler);
      }
    } catch (LovagerackException e) {
      submission.observe(e.failure(), handler);
    }
    submission.checkStarts();
    submission.finalKind().ifPresent(observed::add);
    if (handler == entry && !entry.jobs.owns(submission.id())) {
      observed.add("HandedOver");
    }
  }

  private void handOver(OwnerProcess process) {
    if (process.jobs.isDraining() && !process.isPaused) {
      Handover handover = process.jobs.handover();
      processes.stream()
          .filter(peer -> peer != process && !peer.isPaused)
          .forEach(peer -> peer.jobs.acceptHandover(handover));
    }
  }

  private OwnerProcess handler(OwnerProcess entry, SubmissionId id) {
    return entry.jobs.findHandedOver(id).isPresent()
        ? entry
        : processes.stream()
            .filter(process -> process.identity.peerAddress().equals(id.peerAddress()))
            .findFirst()
            .orElseThrow();
  }

  private static <T> Optional<T> pick(List<T> items, Step step) {
    return items.isEmpty() ? Optional.empty() : Optional.of(items.get(step.item % items.size()));
  }
}
