package org.lovagerack.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;

/** Checks a job against limits that do not depend on the load. */
public final class JobValidator {

  /** Maximum number of tasks in a job. */
  public static final int MAX_TASKS = 150;

  private static final int MAX_NAME_LENGTH = 128;

  /** Declared sizes are often wrong by a factor of ten; only a larger error is rejected. */
  private static final long MAX_SIZE_RATIO = 10;

  /**
   * Returns a failure that names every invalid value, or empty if the job is valid. The kind is
   * {@code TOO_MANY_TASKS} or {@code DEADLINE_PASSED} if that is the only problem, otherwise {@code
   * MALFORMED_REQUEST}.
   */
  public Optional<Failure> validate(JobRequest request) {
    List<Problem> problems = new ArrayList<>();
    checkName("service", request.service(), problems);
    checkName("kind", request.kind(), problems);
    checkName("team", request.team(), problems);
    if (!request.timeLimit().isPositive()) {
      problems.add(
          new Problem(
              ErrorKind.DEADLINE_PASSED,
              "the time limit is " + request.timeLimit().toMillis() + " ms"));
    }
    checkTaskCount(request.tasks().size(), problems);
    for (int i = 0; i < Math.min(MAX_TASKS, request.tasks().size()); i++) {
      checkTask(i, request.tasks().get(i), problems);
    }
    return problems.isEmpty() ? Optional.empty() : Optional.of(failure(problems));
  }

  private static void checkName(String field, String name, List<Problem> problems) {
    if (name.isEmpty()) {
      addMalformed(field + " is empty", problems);
    } else if (name.length() > MAX_NAME_LENGTH) {
      addMalformed(
          field + " has " + name.length() + " characters, at most " + MAX_NAME_LENGTH, problems);
    }
  }

  private static void checkTaskCount(int count, List<Problem> problems) {
    if (count == 0) {
      addMalformed("the job has no tasks", problems);
    } else if (count > MAX_TASKS) {
      problems.add(
          new Problem(
              ErrorKind.TOO_MANY_TASKS, "the job has " + count + " tasks, at most " + MAX_TASKS));
    }
  }

  private static void checkTask(int index, TaskRequest task, List<Problem> problems) {
    if (!task.declaredRunTime().isPositive()) {
      addMalformed(
          "task " + index + " declares a run time of " + task.declaredRunTime().toMillis() + " ms",
          problems);
    }
    long actual = task.body().length();
    long declared = task.declaredBytes();
    long smaller = Math.max(1, Math.min(actual, declared));
    if (declared < 0 || Math.max(actual, declared) > MAX_SIZE_RATIO * smaller) {
      addMalformed(
          "task " + index + " declares " + declared + " bytes, its body has " + actual, problems);
    }
  }

  private static void addMalformed(String detail, List<Problem> problems) {
    problems.add(new Problem(ErrorKind.MALFORMED_REQUEST, detail));
  }

  private static Failure failure(List<Problem> problems) {
    ErrorKind kind = problems.size() == 1 ? problems.getFirst().kind : ErrorKind.MALFORMED_REQUEST;
    String detail = String.join("; ", problems.stream().map(Problem::detail).toList());
    return Failure.notRun(kind, detail);
  }

  private record Problem(ErrorKind kind, String detail) {}
}
