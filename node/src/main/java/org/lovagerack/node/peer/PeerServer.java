package org.lovagerack.node.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.lovagerack.eventloop.server.MemoryBudget;
import org.lovagerack.fleet.entry.JobRouter;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobReceiver;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.EntryLiveness;
import org.lovagerack.fleet.shard.ShardLoad;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Serves calls of other entry VMs for the shards that this process owns. */
public final class PeerServer {

  private static final EventLog LOG = new EventLog(PeerServer.class);

  /** Longer than any client waits. */
  private static final long MAX_TIMEOUT_MILLIS = Duration.ofDays(1).toMillis();

  /** Time after which a VM may submit a job again for which there was no memory. */
  private static final Duration MEMORY_RETRY_DELAY = Duration.ofSeconds(1);

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int INTERNAL_ERROR = 500;

  private final JobRouter router;
  private final EntryLiveness entryLiveness;
  private final Evacuations evacuations;
  private final MemoryBudget memory;
  private final long incarnation;

  /**
   * Creates a server.
   *
   * @param entryLiveness notified of every caller
   * @param evacuations updated if a caller knows a newer set
   * @param memory budget for submitted jobs in progress
   * @param incarnation random number that identifies this process
   */
  public PeerServer(
      JobRouter router,
      EntryLiveness entryLiveness,
      Evacuations evacuations,
      MemoryBudget memory,
      long incarnation) {
    this.router = router;
    this.entryLiveness = entryLiveness;
    this.evacuations = evacuations;
    this.memory = memory;
    this.incarnation = incarnation;
  }

  /** Handles one request. */
  public void handle(HttpServerRequest request) {
    try {
      dispatch(request);
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e, "path", request.path());
      request.response().setStatusCode(INTERNAL_ERROR).end();
    }
  }

  private void dispatch(HttpServerRequest request) {
    if (!Long.toString(incarnation).equals(request.getHeader(PeerProtocol.INCARNATION_HEADER))) {
      request.response().setStatusCode(PeerProtocol.MISDIRECTED).end();
      return;
    }
    EntryId entry = new EntryId(numberHeader(request, PeerProtocol.ENTRY_HEADER));
    String address = request.getHeader(PeerProtocol.ADDRESS_HEADER);
    String failureDomain = request.getHeader(PeerProtocol.FAILURE_DOMAIN_HEADER);
    if (address == null || failureDomain == null) {
      request.response().setStatusCode(BAD_REQUEST).end();
      return;
    }
    entryLiveness.recordContact(new EntryVm(entry, address, failureDomain));
    adoptEvacuations(request, entry);
    String path = request.path();
    Consumer<JobAnswer> answer = given -> request.response().end(PeerProtocol.encode(given));
    if (path.equals(PeerProtocol.PROCESS_PATH)) {
      List<ShardLoad> loads =
          request.headers().contains(PeerProtocol.LOADS_HEADER) ? router.loads() : List.of();
      request.response().end(PeerProtocol.encodeProbe(router.viewVersion(failureDomain), loads));
    } else if (path.equals(PeerProtocol.VIEW_PATH)) {
      request.response().end(ViewCodec.encode(router.view(failureDomain)));
    } else if (path.startsWith(PeerProtocol.JOBS_PATH)) {
      handleJobCall(request, entry, path.substring(PeerProtocol.JOBS_PATH.length()), answer);
    } else if (path.startsWith(PeerProtocol.QUEUES_PATH)) {
      String queue = path.substring(PeerProtocol.QUEUES_PATH.length());
      if (request.headers().contains(PeerProtocol.SHARD_HEADER)) {
        router.localPending(shard(request), queue, answer);
      } else {
        request.response().setStatusCode(BAD_REQUEST).end();
      }
    } else {
      request.response().setStatusCode(NOT_FOUND).end();
    }
  }

  private void adoptEvacuations(HttpServerRequest request, EntryId entry) {
    String value = request.getHeader(PeerProtocol.EVACUATIONS_HEADER);
    if (value == null) {
      return;
    }
    try {
      EvacuationHeader.Content content = EvacuationHeader.decode(value);
      if (evacuations.update(content.version(), content.domains())) {
        LOG.write(
            LogEvent.EVACUATIONS_LEARNED,
            "entry",
            entry,
            "version",
            content.version(),
            "failureDomains",
            content.domains());
      }
    } catch (IOException e) {
      LOG.write(
          LogEvent.PART_UNREADABLE, e, "header", PeerProtocol.EVACUATIONS_HEADER, "entry", entry);
    }
  }

  private void handleJobCall(
      HttpServerRequest request, EntryId entry, String path, Consumer<JobAnswer> answer) {
    if (request.method().equals(HttpMethod.PUT)) {
      Duration clientTimeout = clientTimeout(request);
      boolean repeated = Boolean.parseBoolean(request.getHeader(PeerProtocol.REPEATED_HEADER));
      boolean redirectable =
          Boolean.parseBoolean(request.getHeader(PeerProtocol.REDIRECTABLE_HEADER));
      request
          .body()
          .onSuccess(
              body ->
                  withSubmission(
                      body,
                      clientTimeout,
                      entry,
                      repeated,
                      answer,
                      submission ->
                          submit(request, submission.withRedirectable(redirectable), answer)));
    } else if (path.endsWith(PeerProtocol.HOST_SUFFIX)) {
      request.body().onSuccess(body -> host(request, body, entry, answer));
    } else if (path.endsWith(PeerProtocol.ABANDON_SUFFIX)) {
      request
          .body()
          .onSuccess(
              body ->
                  withSubmission(
                      body,
                      Duration.ZERO,
                      entry,
                      false,
                      answer,
                      submission -> {
                        receiver(request, submission.jobId())
                            .ifPresent(owner -> owner.abandon(submission));
                        answer.accept(new JobAnswer.Cancelled());
                      }));
    } else if (request.method().equals(HttpMethod.DELETE)) {
      withOwnedJobs(request, path, answer, jobs -> jobs.cancel(path, answer));
    } else {
      withOwnedJobs(request, path, answer, jobs -> jobs.state(path, answer));
    }
  }

  private void submit(
      HttpServerRequest request, Submission submission, Consumer<JobAnswer> answer) {
    Optional<? extends JobReceiver> owner = receiver(request, submission.jobId());
    if (owner.isEmpty()) {
      answer.accept(PeerProtocol.NOT_OWNER);
      return;
    }
    long bytes = submission.spec().retainedBytes();
    if (!memory.tryReserve(bytes)) {
      answer.accept(new JobAnswer.Refused(ErrorKind.OVERLOADED, MEMORY_RETRY_DELAY));
      return;
    }
    releaseAtEnd(request.response(), memory, bytes);
    owner.get().submit(submission, answer);
  }

  /**
   * Releases memory when a response has been sent, or when the connection is closed without it: the
   * caller of an abandoned job gets no answer and closes the connection.
   */
  static void releaseAtEnd(HttpServerResponse response, MemoryBudget memory, long bytes) {
    AtomicBoolean released = new AtomicBoolean();
    response.endHandler(
        ended -> {
          if (released.compareAndSet(false, true)) {
            memory.release(bytes);
          }
        });
  }

  /** Returns the receiver of a submission: the shard that the call names, or that of the job. */
  private Optional<? extends JobReceiver> receiver(HttpServerRequest request, String jobId) {
    return request.headers().contains(PeerProtocol.SHARD_HEADER)
        ? router.localHost(shard(request))
        : router.localJobs(jobId);
  }

  private void host(
      HttpServerRequest request, Buffer body, EntryId entry, Consumer<JobAnswer> answer) {
    try {
      HostRequest decoded = JobCodec.decodeHostRequest(Bytes.copyOf(body.getBytes()));
      router
          .localHost(shard(request))
          .ifPresentOrElse(
              host -> host.host(decoded, answer), () -> answer.accept(PeerProtocol.NOT_OWNER));
    } catch (MalformedRecordException e) {
      reject(e, entry, answer);
    } catch (RuntimeException e) {
      fail(e, entry, answer);
    }
  }

  private static void reject(
      MalformedRecordException cause, EntryId entry, Consumer<JobAnswer> answer) {
    LOG.write(LogEvent.REQUEST_REJECTED, cause, "entry", entry);
    answer.accept(new JobAnswer.Refused(ErrorKind.MALFORMED_REQUEST, Duration.ZERO));
  }

  /** Answers a call that failed unexpectedly, after which it may have had an effect. */
  private static void fail(RuntimeException cause, EntryId entry, Consumer<JobAnswer> answer) {
    LOG.write(LogEvent.UNEXPECTED_ERROR, cause, "entry", entry);
    answer.accept(new JobAnswer.Unresolved(ErrorKind.INTERNAL));
  }

  private static int shard(HttpServerRequest request) {
    return (int)
        Math.clamp(numberHeader(request, PeerProtocol.SHARD_HEADER), -1, PeerProtocol.MAX_SHARD);
  }

  private static Duration clientTimeout(HttpServerRequest request) {
    return Duration.ofMillis(
        Math.clamp(
            numberHeader(request, PeerProtocol.CLIENT_TIMEOUT_HEADER), 0, MAX_TIMEOUT_MILLIS));
  }

  private static long numberHeader(HttpServerRequest request, String header) {
    String value = request.getHeader(header);
    try {
      return value == null ? 0 : Long.parseLong(value);
    } catch (NumberFormatException e) {
      LOG.write(LogEvent.PART_UNREADABLE, e, "header", header);
      return 0;
    }
  }

  private static void withSubmission(
      Buffer body,
      Duration clientTimeout,
      EntryId entry,
      boolean repeated,
      Consumer<JobAnswer> answer,
      Consumer<Submission> action) {
    try {
      action.accept(
          JobCodec.decodeSubmission(Bytes.copyOf(body.getBytes()), clientTimeout, entry, repeated));
    } catch (MalformedRecordException e) {
      reject(e, entry, answer);
    } catch (RuntimeException e) {
      fail(e, entry, answer);
    }
  }

  private void withOwnedJobs(
      HttpServerRequest request,
      String jobId,
      Consumer<JobAnswer> answer,
      Consumer<JobService> call) {
    Optional<JobService> jobs =
        request.headers().contains(PeerProtocol.SHARD_HEADER)
            ? router.localShardJobs(shard(request))
            : router.localJobs(jobId);
    jobs.ifPresentOrElse(call, () -> answer.accept(PeerProtocol.NOT_OWNER));
  }
}
