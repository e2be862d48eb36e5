package org.lovagerack.node.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Iterator;
import java.util.function.Consumer;
import org.lovagerack.fleet.entry.JobRouter;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;

/** Answers calls of other entry VMs for the shards that this process owns. */
public final class PeerServer {

  private static final int NOT_FOUND = 404;

  /** The caller looks for the new owner in the meantime. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final JobRouter router;
  private final long incarnation;

  /** Creates a server. */
  public PeerServer(JobRouter router, long incarnation) {
    this.router = router;
    this.incarnation = incarnation;
  }

  /** Answers a request. */
  public void handle(HttpServerRequest request) {
    if (!Long.toString(incarnation).equals(request.getHeader(PeerProtocol.INCARNATION_HEADER))) {
      request.response().setStatusCode(PeerProtocol.MISDIRECTED).end();
      return;
    }
    String path = request.path();
    Consumer<JobAnswer> answer = given -> request.response().end(PeerProtocol.encode(given));
    if (path.equals(PeerProtocol.PROCESS_PATH)) {
      request.response().end();
    } else if (path.startsWith(PeerProtocol.JOBS_PATH)) {
      call(request, path.substring(PeerProtocol.JOBS_PATH.length()), answer);
    } else if (path.startsWith(PeerProtocol.QUEUES_PATH)) {
      String queue = path.substring(PeerProtocol.QUEUES_PATH.length());
      sumPending(router.ownShards().iterator(), queue, 0, answer);
    } else {
      request.response().setStatusCode(NOT_FOUND).end();
    }
  }

  private void call(HttpServerRequest request, String jobId, Consumer<JobAnswer> answer) {
    if (request.method().equals(HttpMethod.PUT)) {
      Duration patience = patience(request);
      request.body().onSuccess(body -> submit(jobId, body, patience, answer));
    } else if (request.method().equals(HttpMethod.DELETE)) {
      own(jobId, answer, jobs -> jobs.cancel(jobId, answer));
    } else {
      own(jobId, answer, jobs -> jobs.state(jobId, answer));
    }
  }

  private static Duration patience(HttpServerRequest request) {
    String millis = request.getHeader(PeerProtocol.PATIENCE_HEADER);
    return millis == null ? Duration.ZERO : Duration.ofMillis(Long.parseLong(millis));
  }

  private void submit(String jobId, Buffer body, Duration patience, Consumer<JobAnswer> answer) {
    SubmittedJob job;
    try {
      job = JobCodec.decodeJob(Bytes.copyOf(body.getBytes()));
    } catch (MalformedRecordException e) {
      answer.accept(new JobAnswer.Refused(ErrorKind.MALFORMED_REQUEST, Duration.ZERO));
      return;
    }
    own(jobId, answer, jobs -> jobs.submit(jobId, job.queue(), job.spec(), patience, answer));
  }

  private void own(String jobId, Consumer<JobAnswer> answer, Consumer<JobService> call) {
    router
        .ownJobs(jobId)
        .ifPresentOrElse(
            call,
            () -> answer.accept(new JobAnswer.Refused(ErrorKind.OWNER_UNREACHABLE, RETRY_AFTER)));
  }

  private static void sumPending(
      Iterator<JobService> shards, String queue, long sum, Consumer<JobAnswer> answer) {
    if (!shards.hasNext()) {
      answer.accept(new JobAnswer.Pending(sum));
      return;
    }
    shards
        .next()
        .pending(
            queue,
            given -> {
              if (given instanceof JobAnswer.Pending pending) {
                sumPending(shards, queue, sum + pending.jobs(), answer);
              } else {
                answer.accept(given);
              }
            });
  }
}
