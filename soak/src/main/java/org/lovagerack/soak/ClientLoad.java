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
import org.lovagerack.platform.standin.PlatformFixtures;
import org.lovagerack.platform.standin.PlatformFixtures.Step;

/** Clients that submit jobs at a fixed rate over persistent connections, poll and cancel them. */
final class ClientLoad {

  private static final Map<String, String> HEADERS =
      Map.of("Host", "host.example", "Deadline-Milliseconds", "1500");

  /** Longer than the deadline in the header, by which a running entry VM has responded. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

  /** Retry delay that the platform's clients use after a lost connection. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(1300);

  private static final Duration POLL_PERIOD = Duration.ofMillis(150);
  private static final Duration CANCELLATION_DELAY = Duration.ofMillis(40);
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_TASKS = 4;
  private static final double DURABLE_SHARE = 0.4;
  private static final double CANCELLED_SHARE = 0.05;

  /** Share of jobs with two steps, often for workers of different shards. */
  private static final double LABELLED_SHARE = 0.25;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TimerService timer;
  private final RandomGenerator random;
  private final HttpCaller caller;
  private final List<SoakVm> vms;
  private final GuaranteeChecker checker;
  private final Consumer<String> violationListener;
  private TimerSubscription submissions = () -> {};
  private TimerSubscription polls = () -> {};
  private int accepted;

  ClientLoad(
      TimerService timer,
      RandomGenerator random,
      HttpCaller caller,
      List<SoakVm> vms,
      GuaranteeChecker checker,
      Consumer<String> violationListener) {
    this.timer = timer;
    this.random = random;
    this.caller = caller;
    this.vms = vms;
    this.checker = checker;
    this.violationListener = violationListener;
  }

  /** Starts to submit jobs and to poll their states. */
  void start(int jobsPerSecond) {
    submissions = timer.every(Duration.ofSeconds(1).dividedBy(jobsPerSecond), this::submitNewJob);
    polls = timer.every(POLL_PERIOD, this::pollRandomJob);
  }

  /** Stops submitting and polling; attempts in progress continue. */
  void stop() {
    submissions.cancel();
    polls.cancel();
  }

  /** Returns the number of submissions that were answered with status 200. */
  int accepted() {
    return accepted;
  }

  /** Polls the state of every accepted durable job that is not known to have ended. */
  void pollAll() {
    checker.acceptedDurableJobs().stream().filter(job -> !job.hasEnded()).forEach(this::poll);
  }

  private void submitNewJob() {
    JobHistory job =
        new JobHistory(
            "%016x".formatted(random.nextLong()),
            random.nextDouble() < DURABLE_SHARE,
            random.nextDouble() < LABELLED_SHARE
                ? List.of(labelledStep(), labelledStep())
                : List.of(new Step(randomTasks(), "")));
    checker.add(job);
    submit(job, 1);
  }

  private int randomTasks() {
    return random.nextInt(1, MAX_TASKS + 1);
  }

  private Step labelledStep() {
    return new Step(randomTasks(), SoakWorker.label(random.nextInt(SoakWorker.LABELS)));
  }

  private void submit(JobHistory job, int attempt) {
    int vm = pickVm();
    long sentNanos = timer.nanoTime();
    call(
        HttpMethod.POST,
        vm,
        job,
        PlatformFixtures.job(
            job.steps(),
            SoakWorker.TASK_DURATION.toMillis(),
            !job.isDurable(),
            job.specification()),
        reply -> {
          switch (reply) {
            case HttpReply.Response response -> handleResponse(job, attempt, response);
            case HttpReply.NotSent notSent -> handleUnknownOutcome(job, attempt);
            case HttpReply.NoResponse none -> {
              checker.checkUnanswered(vm, "submission of " + job.id(), sentNanos);
              handleUnknownOutcome(job, attempt);
            }
          }
        });
  }

  private void handleResponse(JobHistory job, int attempt, HttpReply.Response response) {
    switch (response.status()) {
      case 200 -> {
        accepted++;
        job.addAttempt(JobHistory.Attempt.ACCEPTED, timer.nanoTime());
        if (!job.isDurable()) {
          checker.checkState(job, state(response));
        } else if (random.nextDouble() < CANCELLED_SHARE) {
          timer.after(CANCELLATION_DELAY, () -> cancel(job));
        }
      }
      case 502, 504 -> handleUnknownOutcome(job, attempt);
      default -> job.addAttempt(JobHistory.Attempt.REFUSED, timer.nanoTime());
    }
  }

  private void handleUnknownOutcome(JobHistory job, int attempt) {
    job.addAttempt(JobHistory.Attempt.UNKNOWN, timer.nanoTime());
    if (attempt < MAX_ATTEMPTS) {
      timer.after(RETRY_DELAY, () -> submit(job, attempt + 1));
    }
  }

  private void cancel(JobHistory job) {
    job.setCancelRequested();
    call(
        HttpMethod.DELETE,
        pickVm(),
        job,
        "",
        reply -> {
          if (reply instanceof HttpReply.Response response && response.status() == 200) {
            job.setCancelConfirmed(timer.nanoTime());
          }
        });
  }

  private void pollRandomJob() {
    List<JobHistory> unfinished =
        checker.acceptedDurableJobs().stream().filter(job -> !job.hasEnded()).toList();
    if (!unfinished.isEmpty()) {
      poll(unfinished.get(random.nextInt(unfinished.size())));
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
                checker.checkState(job, state(response));
            case HttpReply.Response response when response.status() == 410 ->
                checker.checkUnknownJob(job, vm);
            case HttpReply.NoResponse none ->
                checker.checkUnanswered(vm, "state of " + job.id(), sentNanos);
            case HttpReply.Response response -> {
              // An error response gives no information about the job.
            }
            case HttpReply.NotSent notSent -> {
              // The next poll repeats the request.
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
        REQUEST_TIMEOUT,
        callback);
  }

  /** Picks a random ready VM, or any VM if none is ready, as a load balancer does. */
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
      violationListener.accept("a response is not valid JSON: " + response.body());
      return "";
    }
  }
}
