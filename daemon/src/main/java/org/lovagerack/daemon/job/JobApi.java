package org.lovagerack.daemon.job;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.submission.JobRequest;
import org.lovagerack.submission.JobService;
import org.lovagerack.submission.JobStatus;
import org.lovagerack.submission.SubmissionId;
import org.lovagerack.submission.SubmissionIdCodec;
import org.lovagerack.submission.SubmitResult;

/**
 * Requests of callers for jobs. A request for a submission of this process is handled locally. One
 * for a submission of another process is forwarded to its owner, unless the owner handed the answer
 * over when it drained.
 */
public final class JobApi {

  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final JobService jobs;
  private final SubmissionIdCodec codec;
  private final OwnerClient ownerClient;
  private final BooleanSupplier ready;
  private final int maxIdentifiers;

  /**
   * Creates the API.
   *
   * @param jobs jobs of this process
   * @param codec text form of identifiers
   * @param ownerClient forwards requests to other owners
   * @param ready whether a deployment is known
   * @param maxIdentifiers maximum number of identifiers that one request may issue
   */
  public JobApi(
      JobService jobs,
      SubmissionIdCodec codec,
      OwnerClient ownerClient,
      BooleanSupplier ready,
      int maxIdentifiers) {
    this.jobs = jobs;
    this.codec = codec;
    this.ownerClient = ownerClient;
    this.ready = ready;
    this.maxIdentifiers = maxIdentifiers;
  }

  /** Issues identifiers. */
  public Answer issue(Bytes body) {
    try {
      List<SubmissionId> ids = jobs.issue(JobJson.parseCount(body, maxIdentifiers));
      ObjectNode node = JobJson.newObject();
      ArrayNode array = node.putArray("ids");
      ids.forEach(id -> array.add(codec.encode(id)));
      return Answer.json(OK, node.toString());
    } catch (LovagerackException e) {
      return ProblemJson.answer(e.failure());
    }
  }

  /**
   * Submits a job or an urgent request.
   *
   * @param key submission identifier, if the caller sent one
   * @param body JSON body
   * @param wait maximum time to wait for the answer of the job; empty to reply immediately
   * @param reply receives exactly one answer
   */
  public void submit(
      Optional<String> key, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    Optional<SubmissionId> id;
    try {
      id = key.isPresent() ? Optional.of(codec.decode(key.get())) : Optional.empty();
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
      return;
    }
    if (id.isEmpty() || isHandledLocally(id.get())) {
      submitLocally(id, body, wait, reply);
    } else {
      ownerClient.submit(id.get(), body, wait, reply);
    }
  }

  private boolean isHandledLocally(SubmissionId id) {
    return jobs.isIssuedAtThisAddress(id) || jobs.findHandedOver(id).isPresent();
  }

  /**
   * Handles a submission that another entry VM forwarded. It is handled locally and never forwarded
   * again.
   */
  public void submitForwarded(
      String key, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    try {
      submitLocally(Optional.of(codec.decode(key)), body, wait, reply);
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
    }
  }

  /** Replies with the status of a job when it finishes, or after {@code wait}. */
  public void status(String key, Duration wait, Consumer<Answer> reply) {
    route(
        key,
        reply,
        id -> replyWhenFinished(id, wait, status -> reply.accept(statusAnswer(key, status)), reply),
        id -> ownerClient.status(id, wait, reply));
  }

  /** Cancels a job and replies with its status. */
  public void cancel(String key, Consumer<Answer> reply) {
    route(
        key,
        reply,
        id -> {
          try {
            reply.accept(statusAnswer(key, jobs.cancel(id)));
          } catch (LovagerackException e) {
            reply.accept(ProblemJson.answer(e.failure()));
          }
        },
        id -> ownerClient.cancel(id, reply));
  }

  private void route(
      String key,
      Consumer<Answer> reply,
      Consumer<SubmissionId> local,
      Consumer<SubmissionId> remote) {
    SubmissionId id;
    try {
      id = codec.decode(key);
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
      return;
    }
    if (isHandledLocally(id)) {
      local.accept(id);
    } else {
      remote.accept(id);
    }
  }

  private void submitLocally(
      Optional<SubmissionId> id, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    switch (acceptOrRefuse(id, body)) {
      case SubmitResult.Accepted accepted -> replyToSubmission(accepted.id(), wait, reply);
      case SubmitResult.Duplicate duplicate -> replyToSubmission(duplicate.id(), wait, reply);
      case SubmitResult.Refused refused -> reply.accept(ProblemJson.answer(refused.failure()));
    }
  }

  private SubmitResult acceptOrRefuse(Optional<SubmissionId> id, Bytes body) {
    Bytes digest = digest(body);
    if (!ready.getAsBoolean()) {
      Failure notReady =
          Failure.notRun(
              ErrorKind.NOT_READY,
              "no deployment has been received from the platform or a peer yet");
      return jobs.refuse(id, digest, notReady.retryAfter(RETRY_AFTER));
    }
    try {
      JobRequest request = JobJson.parse(body);
      return jobs.submit(id, request, digest);
    } catch (LovagerackException e) {
      return jobs.refuse(id, digest, e.failure());
    }
  }

  private void replyToSubmission(SubmissionId id, Optional<Duration> wait, Consumer<Answer> reply) {
    String key = codec.encode(id);
    replyWhenFinished(
        id,
        wait.orElse(Duration.ZERO),
        status -> reply.accept(submitAnswer(key, status, wait)),
        reply);
  }

  private void replyWhenFinished(
      SubmissionId id, Duration wait, Consumer<JobStatus> onStatus, Consumer<Answer> reply) {
    try {
      if (wait.isPositive()) {
        jobs.await(id, wait, onStatus);
        return;
      }
      Optional<JobStatus> status = jobs.find(id);
      if (status.isPresent()) {
        onStatus.accept(status.get());
      } else {
        reply.accept(
            ProblemJson.answer(
                Failure.notRun(ErrorKind.NOT_FOUND, "the identifier was not used yet")));
      }
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
    }
  }

  private static Answer statusAnswer(String key, JobStatus status) {
    return Answer.json(OK, JobJson.statusNode(key, status).toString());
  }

  /**
   * If the caller waits for the answer, a failure of the job becomes the HTTP status of the reply.
   */
  private static Answer submitAnswer(String key, JobStatus status, Optional<Duration> wait) {
    if (wait.isPresent() && status instanceof JobStatus.Failed failed) {
      return ProblemJson.answer(failed.failure());
    }
    int code = status instanceof JobStatus.Completed ? OK : ACCEPTED;
    Map<String, String> headers = new HashMap<>();
    headers.put(Answer.CONTENT_TYPE, Answer.JSON);
    headers.put("Location", "/v1/jobs/" + key);
    return new Answer(code, headers, Bytes.ofText(JobJson.statusNode(key, status).toString()));
  }

  private static Bytes digest(Bytes body) {
    try {
      return Bytes.copyOf(MessageDigest.getInstance("SHA-256").digest(body.toByteArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
