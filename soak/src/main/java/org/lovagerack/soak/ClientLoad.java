package org.lovagerack.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.HttpReply;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.platform.standin.PlatformEntries;

/** Clients that submit jobs at a fixed rate over kept connections, ask for states and cancel. */
final class ClientLoad {

  private static final Map<String, String> HEADERS =
      Map.of("Host", "host.example", "Deadline-Milliseconds", "1500");

  /** Beyond the deadline in the header: an entry VM that lives has answered by then. */
  private static final Duration PATIENCE = Duration.ofSeconds(4);

  /** After a broken connection; the platform's figure. */
  private static final Duration RETRY_AFTER_BREAK = Duration.ofMillis(1300);

  private static final Duration POLL_PERIOD = Duration.ofMillis(150);
  private static final Duration BEFORE_CANCELLATION = Duration.ofMillis(40);
  private static final int MOST_ATTEMPTS = 3;
  private static final int MOST_TASKS = 4;
  private static final double KEPT_SHARE = 0.4;
  private static final double CANCELLED_SHARE = 0.05;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TimerService timer;
  private final RandomGenerator random;
  private final HttpCaller caller;
  private final List<SoakVm> vms;
  private final Promises promises;
  private final Consumer<String> violation;
  private TimerSubscription arrivals = () -> {};
  private TimerSubscription polls = () -> {};
  private int accepted;

  ClientLoad(
      TimerService timer,
      RandomGenerator random,
      HttpCaller caller,
      List<SoakVm> vms,
      Promises promises,
      Consumer<String> violation) {
    this.timer = timer;
    this.random = random;
    this.caller = caller;
    this.vms = vms;
    this.promises = promises;
    this.violation = violation;
  }

  /** Begins to submit jobs. */
  void start(int jobsPerSecond) {
    arrivals = timer.every(Duration.ofSeconds(1).dividedBy(jobsPerSecond), this::submitNew);
    polls = timer.every(POLL_PERIOD, this::pollOne);
  }

  /** Submits no further jobs; attempts that are under way go on. */
  void stop() {
    arrivals.cancel();
    polls.cancel();
  }

  /** Returns the number of jobs that were accepted or answered with their state. */
  int accepted() {
    return accepted;
  }

  /** Asks for the state of every stored job that is not known to have ended. */
  void pollAll() {
    promises.acceptedKeptJobs().stream().filter(job -> !job.hasEnded()).forEach(this::poll);
  }

  private void submitNew() {
    JobHistory job =
        new JobHistory(
            "%016x".formatted(random.nextLong()),
            random.nextDouble() < KEPT_SHARE,
            random.nextInt(1, MOST_TASKS + 1));
    promises.add(job);
    submit(job, 1);
  }

  private void submit(JobHistory job, int attempt) {
    int vm = pickVm();
    long sentNanos = timer.nanoTime();
    call(
        HttpMethod.POST,
        vm,
        job,
        PlatformEntries.job(
            job.tasks(), SoakWorker.TASK_TIME.toMillis(), !job.isKept(), job.specification()),
        reply -> {
          switch (reply) {
            case HttpReply.Response response -> answered(job, attempt, response);
            case HttpReply.NotSent notSent -> unknown(job, attempt);
            case HttpReply.NoResponse none -> {
              promises.checkUnanswered(vm, "submission of " + job.id(), sentNanos);
              unknown(job, attempt);
            }
          }
        });
  }

  private void answered(JobHistory job, int attempt, HttpReply.Response response) {
    switch (response.status()) {
      case 200 -> {
        accepted++;
        job.addAttempt(JobHistory.Attempt.ACCEPTED, timer.nanoTime());
        if (!job.isKept()) {
          promises.checkState(job, state(response));
        } else if (random.nextDouble() < CANCELLED_SHARE) {
          timer.after(BEFORE_CANCELLATION, () -> cancel(job));
        }
      }
      case 502, 504 -> unknown(job, attempt);
      default -> job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    }
  }

  private void unknown(JobHistory job, int attempt) {
    job.addAttempt(JobHistory.Attempt.UNKNOWN, timer.nanoTime());
    if (attempt < MOST_ATTEMPTS) {
      timer.after(RETRY_AFTER_BREAK, () -> submit(job, attempt + 1));
    }
  }

  private void cancel(JobHistory job) {
    job.setCancelTried();
    call(
        HttpMethod.DELETE,
        pickVm(),
        job,
        "",
        reply -> {
          if (reply instanceof HttpReply.Response response && response.status() == 200) {
            job.setCancelled(timer.nanoTime());
          }
        });
  }

  private void pollOne() {
    List<JobHistory> open =
        promises.acceptedKeptJobs().stream().filter(job -> !job.hasEnded()).toList();
    if (!open.isEmpty()) {
      poll(open.get(random.nextInt(open.size())));
    }
  }

  private void poll(JobHistory job) {
    long sentNanos = timer.nanoTime();
    int vm = pickVm();
    call(
        HttpMethod.GET,
        vm,
        job,
        "",
        reply -> {
          switch (reply) {
            case HttpReply.Response response when response.status() == 200 ->
                promises.checkState(job, state(response));
            case HttpReply.Response response when response.status() == 410 ->
                promises.checkUnknown(job, vm);
            case HttpReply.NoResponse none ->
                promises.checkUnanswered(vm, "state of " + job.id(), sentNanos);
            case HttpReply.Response response -> {
              // A refusal says nothing of the job.
            }
            case HttpReply.NotSent notSent -> {
              // The next poll asks again.
            }
          }
        });
  }

  private void call(
      HttpMethod method, int vm, JobHistory job, String body, Consumer<HttpReply> callback) {
    caller.call(
        method,
        vms.get(vm).clientAddress(),
        "/queue/" + job.id(),
        HEADERS,
        Buffer.buffer(body),
        PATIENCE,
        callback);
  }

  /** Picks a VM as a balancer does that follows readiness. */
  private int pickVm() {
    List<Integer> ready = new ArrayList<>();
    for (int vm = 0; vm < vms.size(); vm++) {
      if (vms.get(vm).isReady()) {
        ready.add(vm);
      }
    }
    return ready.isEmpty() ? random.nextInt(vms.size()) : ready.get(random.nextInt(ready.size()));
  }

  private String state(HttpReply.Response response) {
    try {
      return MAPPER.readTree(response.body().toString()).path("state").asText();
    } catch (JsonProcessingException e) {
      violation.accept("an answer is not JSON: " + response.body());
      return "";
    }
  }
}
