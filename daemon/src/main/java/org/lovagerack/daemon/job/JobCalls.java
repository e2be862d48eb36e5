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
 * Calls on jobs. A call on a submission of this process is decided here; one on a submission of
 * another process goes to its owner, unless a draining owner handed the answer over.
 */
public final class JobCalls {

  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final JobService jobs;
  private final SubmissionIdCodec codec;
  private final OwnerCalls owners;
  private final BooleanSupplier ready;
  private final int maxIdentifiers;

  /**
   * Creates the calls.
   *
   * @param jobs jobs of this process
   * @param codec text form of identifiers
   * @param owners calls to other owners
   * @param ready whether the deployment is known
   * @param maxIdentifiers largest number of identifiers that one call may ask for
   */
  public JobCalls(
      JobService jobs,
      SubmissionIdCodec codec,
      OwnerCalls owners,
      BooleanSupplier ready,
      int maxIdentifiers) {
    this.jobs = jobs;
    this.codec = codec;
    this.owners = owners;
    this.ready = ready;
    this.maxIdentifiers = maxIdentifiers;
  }

  /** Issues identifiers. */
  public Answer issue(Bytes body) {
    try {
      List<SubmissionId> ids = jobs.issue(JobJson.parseCount(body, maxIdentifiers));
      ObjectNode node = JobJson.object();
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
   * @param key submission identifier of the caller, if it sent one
   * @param body JSON body
   * @param wait how long to wait for the whole answer; empty to answer at once
   * @param reply receives one answer
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
    if (id.isEmpty() || isDecidedHere(id.get())) {
      submitHere(id, body, wait, reply);
    } else {
      owners.submit(id.get(), body, wait, reply);
    }
  }

  private boolean isDecidedHere(SubmissionId id) {
    return jobs.isIssuedAtThisAddress(id) || jobs.findHandedOver(id).isPresent();
  }

  /**
   * Takes a submission that another entry VM forwarded. It is decided here and never forwarded
   * again.
   */
  public void submitForwarded(
      String key, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    try {
      submitHere(Optional.of(codec.decode(key)), body, wait, reply);
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
    }
  }

  /** Answers with the status of a job, after {@code wait} at most. */
  public void status(String key, Duration wait, Consumer<Answer> reply) {
    withIdentifier(
        key,
        reply,
        id -> replyWhenFinished(id, wait, status -> reply.accept(statusAnswer(key, status)), reply),
        id -> owners.status(id, wait, reply));
  }

  /** Cancels a job and answers with its status. */
  public void cancel(String key, Consumer<Answer> reply) {
    withIdentifier(
        key,
        reply,
        id -> {
          try {
            reply.accept(statusAnswer(key, jobs.cancel(id)));
          } catch (LovagerackException e) {
            reply.accept(ProblemJson.answer(e.failure()));
          }
        },
        id -> owners.cancel(id, reply));
  }

  private void withIdentifier(
      String key,
      Consumer<Answer> reply,
      Consumer<SubmissionId> here,
      Consumer<SubmissionId> elsewhere) {
    SubmissionId id;
    try {
      id = codec.decode(key);
    } catch (LovagerackException e) {
      reply.accept(ProblemJson.answer(e.failure()));
      return;
    }
    if (isDecidedHere(id)) {
      here.accept(id);
    } else {
      elsewhere.accept(id);
    }
  }

  private void submitHere(
      Optional<SubmissionId> id, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    switch (decide(id, body)) {
      case SubmitResult.Accepted accepted -> replyTo(accepted.id(), wait, reply);
      case SubmitResult.Duplicate duplicate -> replyTo(duplicate.id(), wait, reply);
      case SubmitResult.Refused refused -> reply.accept(ProblemJson.answer(refused.failure()));
    }
  }

  private SubmitResult decide(Optional<SubmissionId> id, Bytes body) {
    Bytes digest = digest(body);
    if (!ready.getAsBoolean()) {
      Failure notReady =
          Failure.notRun(ErrorKind.NOT_READY, "neither the platform nor a peer answered yet");
      return jobs.refuse(id, digest, notReady.retryAfter(RETRY_AFTER));
    }
    try {
      JobRequest request = JobJson.parse(body);
      return jobs.submit(id, request, digest);
    } catch (LovagerackException e) {
      return jobs.refuse(id, digest, e.failure());
    }
  }

  private void replyTo(SubmissionId id, Optional<Duration> wait, Consumer<Answer> reply) {
    String key = codec.encode(id);
    replyWhenFinished(
        id,
        wait.orElse(Duration.ZERO),
        status -> reply.accept(submitAnswer(key, status, wait)),
        reply);
  }

  private void replyWhenFinished(
      SubmissionId id, Duration wait, Consumer<JobStatus> whenFinished, Consumer<Answer> reply) {
    try {
      if (wait.isPositive()) {
        jobs.await(id, wait, whenFinished);
        return;
      }
      Optional<JobStatus> status = jobs.find(id);
      if (status.isPresent()) {
        whenFinished.accept(status.get());
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

  /** A caller that waits for the answer gets a failure as the status of its own request. */
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
