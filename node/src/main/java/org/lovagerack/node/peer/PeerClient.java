package org.lovagerack.node.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.HttpReply;
import org.lovagerack.fleet.entry.FleetView;
import org.lovagerack.fleet.entry.PeerCalls;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Calls other entry VMs over HTTP. */
public final class PeerClient implements PeerCalls {

  private static final EventLog LOG = new EventLog(PeerClient.class);

  /** Long, because cancelling a job writes to the store, which takes about 500 ms when slow. */
  private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(2500);

  /** For a request that the host holds for a second, after a transaction on a slow store. */
  private static final Duration HOST_TIMEOUT = Duration.ofMillis(2500);

  private static final Duration QUERY_TIMEOUT = Duration.ofMillis(700);

  private final HttpCaller caller;
  private final EntryVm self;
  private final Evacuations evacuations;
  private final EvacuationHeader evacuationHeader = new EvacuationHeader();
  private final boolean requestsLoads;

  /**
   * Creates a client.
   *
   * @param self this process
   * @param evacuations sent with each call
   * @param requestsLoads whether probes request the loads of the shards
   */
  public PeerClient(
      HttpCaller caller, EntryVm self, Evacuations evacuations, boolean requestsLoads) {
    this.caller = caller;
    this.self = self;
    this.evacuations = evacuations;
    this.requestsLoads = requestsLoads;
  }

  @Override
  public void probe(
      String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
    Map<String, String> headers = new HashMap<>(headers(incarnation));
    if (requestsLoads) {
      headers.put(PeerProtocol.LOADS_HEADER, "true");
    }
    caller.call(
        HttpMethod.GET,
        address,
        PeerProtocol.PROCESS_PATH,
        withEvacuations(headers),
        Buffer.buffer(),
        timeout,
        reply -> callback.accept(liveness(reply)));
  }

  private static Liveness liveness(HttpReply reply) {
    return switch (reply) {
      case HttpReply.Response response -> {
        if (response.status() == PeerProtocol.MISDIRECTED) {
          yield new ProcessEnded();
        }
        try {
          yield PeerProtocol.decodeProbe(response.body());
        } catch (IOException e) {
          LOG.write(LogEvent.PEER_REJECTED, e, "call", "probe");
          yield new TimedOut();
        }
      }
      case HttpReply.NotSent notSent ->
          notSent.reason().contains("refused") ? new ProcessEnded() : new TimedOut();
      case HttpReply.NoResponse none -> new TimedOut();
    };
  }

  @Override
  public void view(
      String address, long incarnation, Duration timeout, Consumer<FleetView> callback) {
    caller.call(
        HttpMethod.GET,
        address,
        PeerProtocol.VIEW_PATH,
        withEvacuations(headers(incarnation)),
        Buffer.buffer(),
        timeout,
        reply -> {
          if (reply instanceof HttpReply.Response response
              && response.status() == PeerProtocol.OK) {
            try {
              callback.accept(ViewCodec.decode(response.body()));
            } catch (IOException e) {
              LOG.write(LogEvent.PEER_REJECTED, e, "call", "view");
            }
          }
        });
  }

  @Override
  public JobService jobsAt(String address, long incarnation) {
    return new RemoteJobs(address, headers(incarnation));
  }

  @Override
  public JobService shardJobsAt(String address, long incarnation, int shard) {
    return jobsOfShard(address, incarnation, shard);
  }

  @Override
  public JobHost hostAt(String address, long incarnation, int shard) {
    return jobsOfShard(address, incarnation, shard);
  }

  private RemoteJobs jobsOfShard(String address, long incarnation, int shard) {
    Map<String, String> headers = new HashMap<>(headers(incarnation));
    headers.put(PeerProtocol.SHARD_HEADER, Integer.toString(shard));
    return new RemoteJobs(address, headers);
  }

  private Map<String, String> headers(long incarnation) {
    return Map.of(
        PeerProtocol.INCARNATION_HEADER,
        Long.toString(incarnation),
        PeerProtocol.ENTRY_HEADER,
        Long.toString(self.id().incarnation()),
        PeerProtocol.ADDRESS_HEADER,
        self.address(),
        PeerProtocol.FAILURE_DOMAIN_HEADER,
        self.failureDomain());
  }

  /** Adds the evacuations known at the time of the call. */
  private Map<String, String> withEvacuations(Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    evacuationHeader
        .encode(evacuations)
        .ifPresent(value -> all.put(PeerProtocol.EVACUATIONS_HEADER, value));
    return all;
  }

  private final class RemoteJobs implements JobService, JobHost {
    private final String address;
    private final Map<String, String> headers;

    /** Cancels the call of the last submission. */
    private Runnable cancelLastSubmission = () -> {};

    RemoteJobs(String address, Map<String, String> headers) {
      this.address = address;
      this.headers = Map.copyOf(headers);
    }

    @Override
    public void submit(Submission submission, Consumer<JobAnswer> callback) {
      Map<String, String> all = new HashMap<>(headers);
      all.put(
          PeerProtocol.CLIENT_TIMEOUT_HEADER, Long.toString(submission.clientTimeout().toMillis()));
      all.put(PeerProtocol.REPEATED_HEADER, Boolean.toString(submission.repeated()));
      if (submission.redirectable()) {
        all.put(PeerProtocol.REDIRECTABLE_HEADER, "true");
      }
      cancelLastSubmission =
          call(
              HttpMethod.PUT,
              PeerProtocol.JOBS_PATH + submission.jobId(),
              all,
              body(submission),
              submission.clientTimeout(),
              callback);
    }

    @Override
    public void abandon(Submission submission) {
      call(
          HttpMethod.POST,
          PeerProtocol.JOBS_PATH + submission.jobId() + PeerProtocol.ABANDON_SUFFIX,
          headers,
          body(submission),
          QUERY_TIMEOUT,
          answer -> {
            // Otherwise an owner behind a network partition would receive the submission when the
            // partition ends.
            if (!(answer instanceof JobAnswer.Cancelled)) {
              cancelLastSubmission.run();
            }
          });
    }

    private static Buffer body(Submission submission) {
      return Buffer.buffer(JobCodec.encode(submission).toByteArray());
    }

    @Override
    public void host(HostRequest request, Consumer<JobAnswer> callback) {
      call(
          HttpMethod.POST,
          PeerProtocol.JOBS_PATH + request.job().id() + PeerProtocol.HOST_SUFFIX,
          headers,
          Buffer.buffer(JobCodec.encode(request).toByteArray()),
          HOST_TIMEOUT,
          callback);
    }

    @Override
    public void state(String jobId, Consumer<JobAnswer> callback) {
      query(HttpMethod.GET, PeerProtocol.JOBS_PATH + jobId, callback);
    }

    @Override
    public void cancel(String jobId, Consumer<JobAnswer> callback) {
      call(
          HttpMethod.DELETE,
          PeerProtocol.JOBS_PATH + jobId,
          headers,
          Buffer.buffer(),
          CANCEL_TIMEOUT,
          callback);
    }

    @Override
    public void pending(String queueName, Consumer<JobAnswer> callback) {
      query(HttpMethod.GET, PeerProtocol.QUEUES_PATH + queueName, callback);
    }

    private void query(HttpMethod method, String path, Consumer<JobAnswer> callback) {
      call(method, path, headers, Buffer.buffer(), QUERY_TIMEOUT, callback);
    }

    private Runnable call(
        HttpMethod method,
        String path,
        Map<String, String> headers,
        Buffer body,
        Duration timeout,
        Consumer<JobAnswer> callback) {
      return caller.call(
          method,
          address,
          path,
          withEvacuations(headers),
          body,
          timeout,
          reply -> callback.accept(answer(reply)));
    }

    private static JobAnswer answer(HttpReply reply) {
      return switch (reply) {
        case HttpReply.NotSent notSent -> PeerProtocol.NOT_OWNER;
        case HttpReply.NoResponse none -> new JobAnswer.Unresolved(ErrorKind.OWNER_UNREACHABLE);
        case HttpReply.Response response -> {
          if (response.status() != PeerProtocol.OK) {
            yield PeerProtocol.NOT_OWNER;
          }
          try {
            yield PeerProtocol.decode(response.body());
          } catch (IOException e) {
            yield new JobAnswer.Unresolved(ErrorKind.INVALID_FRAME);
          }
        }
      };
    }
  }
}
