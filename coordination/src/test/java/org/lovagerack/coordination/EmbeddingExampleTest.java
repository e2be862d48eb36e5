package org.lovagerack.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.dispatch.DispatchObserver;
import org.lovagerack.dispatch.DispatchSettings;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.UpstreamDefinition;
import org.lovagerack.submission.JobObserver;
import org.lovagerack.submission.JobRequest;
import org.lovagerack.submission.JobService;
import org.lovagerack.submission.JobStatus;
import org.lovagerack.submission.OwnerIdentity;
import org.lovagerack.submission.SubmissionId;
import org.lovagerack.submission.SubmissionIdCodec;
import org.lovagerack.submission.SubmissionSettings;
import org.lovagerack.submission.TaskRequest;

/** The example of docs/embedding.md. Guards against components that need the daemon. */
final class EmbeddingExampleTest {

  @Test
  void runsJobWithOwnTransportAndTimer() throws LovagerackException {
    DrivenTimer timer = new DrivenTimer();
    Dispatcher dispatcher =
        new Dispatcher(
            timer,
            new EchoTransport(timer),
            RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            DispatchSettings.defaults(),
            DispatchObserver.none());
    dispatcher.deploy(deployment());
    JobService jobs =
        new JobService(
            timer,
            dispatcher,
            SubmissionSettings.defaults(),
            new OwnerIdentity("nordvik-1", "127.0.0.1:9080", 42),
            new SubmissionIdCodec(Bytes.ofText("a key of sixteen bytes or more")),
            new JobObserver() {});

    SubmissionId id = jobs.issue(1).getFirst();
    Bytes digest = Bytes.ofText("digest of the request");
    jobs.submit(Optional.of(id), request(), digest);
    jobs.submit(Optional.of(id), request(), digest);
    timer.advance(Duration.ofSeconds(1));

    assertThat(jobs.find(id))
        .contains(new JobStatus.Completed(List.of(Bytes.ofText("first"), Bytes.ofText("second"))));
  }

  private static JobRequest request() {
    return new JobRequest(
        "seating",
        "section-swap",
        "festivals",
        true,
        Duration.ofSeconds(2),
        List.of(task("first"), task("second")));
  }

  private static TaskRequest task(String body) {
    return new TaskRequest(Bytes.ofText(body), body.length(), Duration.ofMillis(80), false);
  }

  private static Deployment deployment() {
    ServiceDefinition service =
        new ServiceDefinition(
            "seating", "/tasks", 0.3, 0.1, 3, 1_000, Duration.ofSeconds(10), Set.of(), 0.99);
    UpstreamDefinition upstream =
        new UpstreamDefinition("127.0.0.1:6001", "seating", "nordvik-1", 8, 64);
    return new Deployment(
        1, Map.of("seating", service), Map.of(upstream.address(), upstream), Map.of());
  }

  /** A transport that answers each task with its own body after 50 ms. */
  private record EchoTransport(TimerService timer) implements UpstreamTransport {

    @Override
    public Attempt start(AttemptRequest request, AttemptListener listener) {
      return timer.after(
              Duration.ofMillis(50),
              () -> listener.onResult(new AttemptResult.Answered(200, request.body(), false)))
          ::cancel;
    }

    @Override
    public void limitConnections(String upstream, int connections) {}

    @Override
    public void closeIdleConnections(String upstream) {}
  }
}
