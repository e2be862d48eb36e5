package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Manages the submissions whose identifiers were issued by this process. For each identifier it
 * accepts or refuses one job and retains the answer. Must be called on one event loop.
 */
public final class JobService {

  private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final TimerService timers;
  private final TaskDispatcher dispatcher;
  private final SubmissionSettings settings;
  private final OwnerIdentity identity;
  private final SubmissionIdCodec codec;
  private final JobObserver observer;
  private final JobValidator validator = new JobValidator();
  private final SubmissionStore store;
  private final HandoverStore handedOver;
  private final DrainMonitor drain;

  /**
   * Creates a service that issues identifiers of {@code identity}.
   *
   * @throws IllegalArgumentException if the identity does not fit in an identifier
   */
  public JobService(
      TimerService timers,
      TaskDispatcher dispatcher,
      SubmissionSettings settings,
      OwnerIdentity identity,
      SubmissionIdCodec codec,
      JobObserver observer) {
    this.timers = timers;
    this.dispatcher = dispatcher;
    this.settings = settings;
    this.identity = identity;
    this.codec = codec;
    codec.encode(identity.identifier(1));
    this.observer = observer;
    this.store = new SubmissionStore(settings);
    this.handedOver = new HandoverStore(settings.answerRetention(), settings.maxRetainedBytes());
    this.drain = new DrainMonitor(timers, settings.drainLinger());
    timers.every(CLEANUP_PERIOD, this::cleanUp);
  }

  /** Returns whether this process issued an identifier, and therefore owns its submission. */
  public boolean owns(SubmissionId id) {
    return identity.owns(id);
  }

  /**
   * Returns whether an identifier was issued at the address of this process, by this or an earlier
   * incarnation. No process at another address owns such an identifier.
   */
  public boolean isIssuedAtThisAddress(SubmissionId id) {
    return id.peerAddress().equals(identity.peerAddress());
  }

  /**
   * Issues identifiers in ascending order.
   *
   * @param count number of identifiers, from 1 to {@link SubmissionSettings#maxIssueCount}
   * @throws LovagerackException {@code DRAINING} while draining, {@code MALFORMED_REQUEST} if the
   *     count is out of range, {@code OVERLOADED} if too many identifiers are outstanding
   */
  public List<SubmissionId> issue(int count) throws LovagerackException {
    long now = removeExpired();
    if (drain.isDraining()) {
      throw new LovagerackException(drainingFailure());
    }
    if (count < 1 || count > settings.maxIssueCount()) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.MALFORMED_REQUEST,
              "count is " + count + ", allowed are 1 to " + settings.maxIssueCount()));
    }
    if (store.outstanding() + count > settings.maxOutstanding()) {
      throw new LovagerackException(
          Failure.notRun(ErrorKind.OVERLOADED, store.outstanding() + " identifiers are outstanding")
              .retryAfter(RETRY_AFTER));
    }
    long first = store.issue(count, now);
    observer.onIssued(count);
    return LongStream.range(first, first + count).mapToObj(identity::identifier).toList();
  }

  /**
   * Accepts or refuses a job, or returns the result of an earlier submission with the same
   * identifier.
   *
   * @param id identifier sent by the caller; empty to issue one if the job is accepted
   * @param request the job
   * @param bodyDigest digest of the request body, which distinguishes a resubmission from another
   *     request
   */
  public SubmitResult submit(Optional<SubmissionId> id, JobRequest request, Bytes bodyDigest) {
    if (id.isPresent()) {
      Optional<SubmitResult> earlier = earlierDecision(id.get(), bodyDigest);
      if (earlier.isPresent()) {
        observeRepeated(id.get(), request, earlier.get());
        return earlier.get();
      }
    }
    long now = removeExpired();
    long deadlineNanos = DispatchMapping.deadline(now, request.timeLimit());
    Optional<Failure> refusal = refusal(request, deadlineNanos);
    if (refusal.isPresent()) {
      observer.onRefused(request, refusal.get());
      return recordRefusal(id, bodyDigest, refusal.get());
    }
    SubmissionId accepted = id.orElseGet(() -> identity.identifier(store.issue(1, now)));
    accept(accepted, request, bodyDigest, deadlineNanos);
    return new SubmitResult.Accepted(accepted);
  }

  /**
   * Refuses a submission whose body is not a valid job. The refusal is recorded, because a job that
   * was later accepted under the same identifier would contradict the outcome "not run".
   *
   * @param failure the reason, with outcome "not run"
   * @throws IllegalArgumentException if the failure has another outcome
   */
  public SubmitResult refuse(Optional<SubmissionId> id, Bytes bodyDigest, Failure failure) {
    if (failure.outcome() != RunOutcome.NOT_RUN) {
      throw new IllegalArgumentException("a refusal must be \"not run\": " + failure);
    }
    return id.flatMap(present -> earlierDecision(present, bodyDigest))
        .orElseGet(() -> recordRefusal(id, bodyDigest, failure));
  }

  /** Returns the final status of a submission that a draining peer handed over. */
  public Optional<JobStatus> findHandedOver(SubmissionId id) {
    return handedOver.find(id, timers.nanoTime()).map(Handover.Entry::status);
  }

  /**
   * Returns the status of a submission that this process owns or that a draining peer handed over.
   *
   * @return empty if the identifier was issued but has not been used
   * @throws LovagerackException {@code SUBMISSION_EXPIRED}; {@code INVALID_SUBMISSION_ID}; {@code
   *     OWNER_LOST} if an earlier incarnation at this address issued it; {@code OWNER_UNREACHABLE}
   *     if another process did
   */
  public Optional<JobStatus> find(SubmissionId id) throws LovagerackException {
    return switch (state(id)) {
      case SubmissionState.Issued issued -> Optional.empty();
      case SubmissionState.Accepted accepted -> Optional.of(accepted.job().progress());
      case SubmissionState.Refused refused -> Optional.of(new JobStatus.Failed(refused.failure()));
      case SubmissionState.Finished finished -> {
        if (owns(id)) {
          drain.read(id.sequence());
        }
        yield Optional.of(finished.status());
      }
      case SubmissionState.Expired expired ->
          throw new LovagerackException(LookupFailures.expired(id, expired));
      case SubmissionState.NotIssued notIssued ->
          throw new LovagerackException(LookupFailures.notIssued(id));
      case SubmissionState.IssuedElsewhere issuedElsewhere ->
          throw new LovagerackException(LookupFailures.issuedElsewhere(id, identity));
    };
  }

  /**
   * Waits for a job to finish. The callback is called once, with the final status when the job
   * finishes or with the current status after {@code limit}. It may run before this method returns.
   *
   * @throws LovagerackException as {@link #find}; {@code NOT_FOUND} if the identifier is not used
   */
  public JobWaiter await(SubmissionId id, Duration limit, Consumer<JobStatus> callback)
      throws LovagerackException {
    if (state(id) instanceof SubmissionState.Accepted accepted) {
      return accepted.job().waiters().add(limit, callback);
    }
    callback.accept(findUsed(id));
    return () -> {};
  }

  /**
   * Cancels a job. Has no effect if the job is finished or was refused.
   *
   * @return the status after the call; the job stays running until the outcome of every task is
   *     known
   * @throws LovagerackException as {@link #find}; {@code NOT_FOUND} if the identifier is not used
   */
  public JobStatus cancel(SubmissionId id) throws LovagerackException {
    if (state(id) instanceof SubmissionState.Accepted accepted) {
      accepted.job().cancel();
    }
    return findUsed(id);
  }

  /**
   * Permanently stops issuing identifiers and accepting jobs.
   *
   * @param onDrained called once when every job is finished and its answer was read or its linger
   *     time has passed
   */
  public void drain(Runnable onDrained) {
    drain.drain(onDrained);
  }

  /** Returns whether {@link #drain} was called. */
  public boolean isDraining() {
    return drain.isDraining();
  }

  /** Returns all final answers and refusals, including those handed over by peers. */
  public Handover handover() {
    long now = removeExpired();
    List<Handover.Entry> entries = new ArrayList<>(store.finalEntries(identity, now));
    entries.addAll(handedOver.entries(now));
    return new Handover(entries);
  }

  /** Stores the answers and refusals of a draining peer. Ignores entries owned by this process. */
  public void acceptHandover(Handover handover) {
    long now = timers.nanoTime();
    handover.entries().stream()
        .filter(entry -> !owns(entry.id()))
        .forEach(entry -> handedOver.add(entry, now));
  }

  private JobStatus findUsed(SubmissionId id) throws LovagerackException {
    return find(id).orElseThrow(() -> new LovagerackException(LookupFailures.unused(id)));
  }

  private Optional<Failure> refusal(JobRequest request, long deadlineNanos) {
    if (drain.isDraining()) {
      return Optional.of(drainingFailure());
    }
    if (store.retainedBytes() > settings.maxRetainedBytes()) {
      return Optional.of(
          Failure.notRun(
                  ErrorKind.OVERLOADED, store.retainedBytes() + " bytes of answers are retained")
              .retryAfter(RETRY_AFTER));
    }
    return validator
        .validate(request)
        .or(() -> dispatcher.admit(DispatchMapping.admissionRequest(request, deadlineNanos)));
  }

  private void accept(SubmissionId id, JobRequest request, Bytes bodyDigest, long deadlineNanos) {
    long receivedNanos = timers.nanoTime();
    RunningJob job =
        new RunningJob(timers, request, status -> finish(id, request, status, receivedNanos));
    store.accept(id.sequence(), bodyDigest, job);
    drain.started();
    observer.onAccepted(id, request);
    job.start(dispatcher, codec.encode(id), deadlineNanos);
  }

  private void finish(SubmissionId id, JobRequest request, JobStatus status, long receivedNanos) {
    long now = timers.nanoTime();
    RunningJob job = store.finish(id.sequence(), status, now);
    drain.finished(id.sequence());
    observer.onFinished(id, request, status, Duration.ofNanos(now - receivedNanos));
    if (job.waiters().finish(status)) {
      drain.read(id.sequence());
    }
  }

  private SubmitResult recordRefusal(Optional<SubmissionId> id, Bytes bodyDigest, Failure failure) {
    id.ifPresent(
        present -> store.refuse(present.sequence(), bodyDigest, failure, timers.nanoTime()));
    return new SubmitResult.Refused(failure);
  }

  /** Returns the result of an earlier submission, or empty if the identifier is unused. */
  private Optional<SubmitResult> earlierDecision(SubmissionId id, Bytes bodyDigest) {
    return switch (state(id)) {
      case SubmissionState.Issued issued -> Optional.empty();
      case SubmissionState.Accepted accepted ->
          Optional.of(resultOfRepeat(id, accepted.bodyDigest(), bodyDigest));
      case SubmissionState.Finished finished ->
          Optional.of(resultOfRepeat(id, finished.bodyDigest(), bodyDigest));
      case SubmissionState.Refused refused ->
          Optional.of(resultOfRefusedRepeat(refused, bodyDigest));
      case SubmissionState.Expired expired -> refused(LookupFailures.expired(id, expired));
      case SubmissionState.NotIssued notIssued -> refused(LookupFailures.notIssued(id));
      case SubmissionState.IssuedElsewhere issuedElsewhere ->
          refused(LookupFailures.issuedElsewhere(id, identity));
    };
  }

  private static SubmitResult resultOfRepeat(SubmissionId id, Bytes knownDigest, Bytes bodyDigest) {
    return knownDigest.equals(bodyDigest)
        ? new SubmitResult.Duplicate(id)
        : new SubmitResult.Refused(LookupFailures.reused(RunOutcome.MAY_HAVE_RUN));
  }

  private static SubmitResult resultOfRefusedRepeat(
      SubmissionState.Refused refused, Bytes bodyDigest) {
    return new SubmitResult.Refused(
        refused.bodyDigest().equals(bodyDigest)
            ? refused.failure()
            : LookupFailures.reused(RunOutcome.NOT_RUN));
  }

  private static Optional<SubmitResult> refused(Failure failure) {
    return Optional.of(new SubmitResult.Refused(failure));
  }

  private void observeRepeated(SubmissionId id, JobRequest request, SubmitResult result) {
    if (result instanceof SubmitResult.Refused refused) {
      observer.onRefused(request, refused.failure());
    } else {
      observer.onDuplicate(id);
    }
  }

  private SubmissionState state(SubmissionId id) {
    long now = removeExpired();
    return handedOver
        .find(id, now)
        .map(JobService::stateOf)
        .orElseGet(
            () -> owns(id) ? store.state(id.sequence()) : new SubmissionState.IssuedElsewhere());
  }

  private static SubmissionState stateOf(Handover.Entry entry) {
    return entry.refused() && entry.status() instanceof JobStatus.Failed failed
        ? new SubmissionState.Refused(entry.bodyDigest(), failed.failure())
        : new SubmissionState.Finished(entry.bodyDigest(), entry.status());
  }

  private static Failure drainingFailure() {
    return Failure.notRun(ErrorKind.DRAINING, "this entry VM is stopping").retryAfter(RETRY_AFTER);
  }

  /** Removes expired records and returns the current time, in nanoseconds. */
  private long removeExpired() {
    long now = timers.nanoTime();
    store.removeExpired(now);
    return now;
  }

  private void cleanUp() {
    handedOver.removeExpired(removeExpired());
    drain.check();
  }
}
