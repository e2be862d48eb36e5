package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;

/** Guards against accepting jobs over a limit, and failures that do not name the invalid value. */
final class JobValidatorTest {

  private static final TaskRequest VALID_TASK = task(20, 200, 100);

  private final JobValidator validator = new JobValidator();

  @Test
  void acceptsJobsAtTheLimits() {
    assertThat(validator.validate(job("s".repeat(128), 1, Collections.nCopies(150, VALID_TASK))))
        .isEmpty();
    assertThat(validator.validate(job("s", 1, List.of(task(0, 10, 600_000))))).isEmpty();
  }

  @Test
  void namesEveryOffendingValue() {
    Failure failure =
        validator
            .validate(
                job("s".repeat(129), -5, List.of(VALID_TASK, task(20, 201, 0), task(30, -1, 1))))
            .orElseThrow();

    assertThat(failure.kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    assertThat(failure.detail())
        .contains(
            "service has 129 characters",
            "time limit is -5 ms",
            "task 1 declares a run time of 0 ms",
            "task 1 declares 201 bytes, its body has 20",
            "task 2 declares -1 bytes, its body has 30")
        .doesNotContain("task 0");
  }

  @Test
  void singleProblemDeterminesTheKind() {
    assertThat(kind(job("s", 1, Collections.nCopies(151, VALID_TASK))))
        .isEqualTo(ErrorKind.TOO_MANY_TASKS);
    assertThat(kind(job("s", 0, List.of(VALID_TASK)))).isEqualTo(ErrorKind.DEADLINE_PASSED);
    assertThat(kind(job("", 1, List.of(VALID_TASK)))).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    assertThat(kind(job("s", 1, List.of()))).isEqualTo(ErrorKind.MALFORMED_REQUEST);
  }

  private ErrorKind kind(JobRequest request) {
    return validator.validate(request).orElseThrow().kind();
  }

  private static JobRequest job(String service, long limitMillis, List<TaskRequest> tasks) {
    return new JobRequest(service, "kind", "team", false, Duration.ofMillis(limitMillis), tasks);
  }

  private static TaskRequest task(int size, long declaredSize, long runTimeMillis) {
    Bytes body = Bytes.copyOf(new byte[size]);
    return new TaskRequest(body, declaredSize, Duration.ofMillis(runTimeMillis), false);
  }
}
