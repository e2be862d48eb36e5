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
 * Owner of the submissions whose identifiers this process issued. It decides once for each
 * identifier whether its job is accepted, and keeps the answer. All calls come from one event loop.
 */
public final class JobService {

  private static final Duration HOUSEKEEPING_PERIOD = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final TimerService timers;
  private final TaskDispatcher dispatcher;
  private final SubmissionSettings settings;
  private final OwnerIdentity self;
  private final SubmissionIdCodec codec;
  private final JobObserver observer;
  private final JobValidator validator = new JobValidator();
  private final SubmissionLedger ledger;
  private final HandoverStore handedOver;
  private final DrainMonitor drain;

  /**
   * Creates a service that issues identifiers of {@code self}.
   *
   * @throws IllegalArgumentException if the identity does not fit into an identifier
   */
  public JobService(
      TimerService timers,
      TaskDispatcher dispatcher,
      SubmissionSettings settings,
      OwnerIdentity self,
      SubmissionIdCodec codec,
      JobObserver observer) {
    this.timers = timers;
    this.dispatcher = dispatcher;
    this.settings = settings;
    this.self = self;
    this.codec = codec;
    codec.encode(self.identifier(1));
    this.observer = observer;
    this.ledger = new SubmissionLedger(settings);
    this.handedOver = new HandoverStore(settings.answerRetention(), settings.maxRetainedBytes());
    this.drain = new DrainMonitor(timers, settings.drainLinger());
    timers.every(HOUSEKEEPING_PERIOD, this::housekeeping);
  }

  /** Returns whether this process issued an identifier, and so is the one that decides on it. */
  public boolean owns(SubmissionId id) {
    return self.owns(id);
  }

  /**
   * Returns whether an identifier was issued at the address of this process, by it or by an earlier
   * incarnation. Nobody else can answer for such an identifier.
   */
  public boolean isIssuedAtThisAddress(SubmissionId id) {
    return id.peerAddress().equals(self.peerAddress());
  }

  /**
   * Issues identifiers, in ascending order.
   *
   * @param count 1 to the limit in the settings
   * @throws LovagerackException {@code DRAINING} while draining, {@code MALFORMED_REQUEST} if the
   *     count is out of range, {@code OVERLOADED} if too many identifiers are outstanding
   */
  public List<SubmissionId> issue(int count) throws LovagerackException {
    long now = advance();
    if (drain.isDraining()) {
      throw new LovagerackException(draining());
    }
    if (count < 1 || count > settings.maxIssueCount()) {
      throw new LovagerackException(
          Failure.notRun(
              ErrorKind.MALFORMED_REQUEST,
              "count is " + count + ", allowed are 1 to " + settings.maxIssueCount()));
    }
    if (ledger.outstanding() + count > settings.maxOutstanding()) {
      throw new LovagerackException(
          Failure.notRun(
                  ErrorKind.OVERLOADED, ledger.outstanding() + " identifiers are outstanding")
              .retryAfter(RETRY_AFTER));
    }
    long first = ledger.issue(count, now);
    observer.onIssued(count);
    return LongStream.range(first, first + count).mapToObj(self::identifier).toList();
  }

  /**
   * Submits a job, or finds what was decided on an earlier submission.
   *
   * @param id identifier that the caller sent; empty to issue one if the job is accepted
   * @param request the job
   * @param bodyDigest digest of the request body, which tells a resubmission from another request
   */
  public SubmitResult submit(Optional<SubmissionId> id, JobRequest request, Bytes bodyDigest) {
    if (id.isPresent()) {
      Optional<SubmitResult> earlier = earlierDecision(id.get(), bodyDigest);
      if (earlier.isPresent()) {
        observeRepeated(id.get(), request, earlier.get());
        return earlier.get();
      }
    }
    long now = advance();
    long deadlineNanos = DispatchMapping.deadline(now, request.timeLimit());
    Optional<Failure> refusal = refusal(request, deadlineNanos);
    if (refusal.isPresent()) {
      observer.onRefused(request, refusal.get());
      return recordRefusal(id, bodyDigest, refusal.get());
    }
    SubmissionId accepted = id.orElseGet(() -> self.identifier(ledger.issue(1, now)));
    accept(accepted, request, bodyDigest, deadlineNanos);
    return new SubmitResult.Accepted(accepted);
  }

  /**
   * Refuses a submission whose body could not be read as a job. The refusal is recorded like any
   * other, so that "not run" stays true for the identifier.
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
   * Returns the status of a submission, from the answers that were handed over or from the ledger.
   *
   * @return empty if the identifier was issued and not used
   * @throws LovagerackException {@code SUBMISSION_EXPIRED}; {@code INVALID_SUBMISSION_ID}; {@code
   *     OWNER_LOST} if an earlier incarnation at this address issued it; {@code OWNER_UNREACHABLE}
   *     if another process did
   */
  public Optional<JobStatus> find(SubmissionId id) throws LovagerackException {
    return switch (state(id)) {
      case LedgerState.Issued issued -> Optional.empty();
      case LedgerState.Accepted accepted -> Optional.of(accepted.job().progress());
      case LedgerState.Refused refused -> Optional.of(new JobStatus.Failed(refused.failure()));
      case LedgerState.Finished finished -> {
        if (owns(id)) {
          drain.read(id.sequence());
        }
        yield Optional.of(finished.status());
      }
      case LedgerState.Expired expired ->
          throw new LovagerackException(LookupFailures.expired(id, expired));
      case LedgerState.NotIssued notIssued ->
          throw new LovagerackException(LookupFailures.notIssued(id));
      case LedgerState.Foreign foreign ->
          throw new LovagerackException(LookupFailures.foreign(id, self));
    };
  }

  /**
   * Calls back once, with the final status as soon as the job is finished, or with its status after
   * {@code limit}. The callback may run before this method returns.
   *
   * @throws LovagerackException as {@link #find}; {@code NOT_FOUND} if the identifier is not used
   */
  public JobWait await(SubmissionId id, Duration limit, Consumer<JobStatus> callback)
      throws LovagerackException {
    if (state(id) instanceof LedgerState.Accepted accepted) {
      return accepted.job().waits().add(limit, callback);
    }
    callback.accept(used(id));
    return () -> {};
  }

  /**
   * Cancels a job. Does nothing if it is finished or was refused.
   *
   * @return the status afterwards; the job stays running until the outcome of every task is known
   * @throws LovagerackException as {@link #find}; {@code NOT_FOUND} if the identifier is not used
   */
  public JobStatus cancel(SubmissionId id) throws LovagerackException {
    if (state(id) instanceof LedgerState.Accepted accepted) {
      accepted.job().cancel();
    }
    return used(id);
  }

  /**
   * Stops issuing identifiers and accepting jobs, for good.
   *
   * @param whenDrained called once when every job is finished and was read or its linger time
   *     passed
   */
  public void drain(Runnable whenDrained) {
    drain.drain(whenDrained);
  }

  /** Returns whether {@link #drain} was called. */
  public boolean isDraining() {
    return drain.isDraining();
  }

  /** Returns all final answers and refusals, including those that other peers handed over. */
  public Handover handover() {
    long now = advance();
    List<Handover.Entry> entries = new ArrayList<>(ledger.finalEntries(self, now));
    entries.addAll(handedOver.entries(now));
    return new Handover(entries);
  }

  /** Takes the answers and refusals of a draining peer. Entries of this process are ignored. */
  public void acceptHandover(Handover handover) {
    long now = timers.nanoTime();
    handover.entries().stream()
        .filter(entry -> !owns(entry.id()))
        .forEach(entry -> handedOver.add(entry, now));
  }

  private JobStatus used(SubmissionId id) throws LovagerackException {
    return find(id).orElseThrow(() -> new LovagerackException(LookupFailures.notUsed(id)));
  }

  private Optional<Failure> refusal(JobRequest request, long deadlineNanos) {
    if (drain.isDraining()) {
      return Optional.of(draining());
    }
    if (ledger.retainedBytes() > settings.maxRetainedBytes()) {
      return Optional.of(
          Failure.notRun(
                  ErrorKind.OVERLOADED, ledger.retainedBytes() + " bytes of answers are retained")
              .retryAfter(RETRY_AFTER));
    }
    return validator
        .validate(request)
        .or(() -> dispatcher.admit(DispatchMapping.shape(request, deadlineNanos)));
  }

  private void accept(SubmissionId id, JobRequest request, Bytes bodyDigest, long deadlineNanos) {
    long receivedNanos = timers.nanoTime();
    RunningJob job =
        new RunningJob(timers, request, status -> finish(id, request, status, receivedNanos));
    ledger.accept(id.sequence(), bodyDigest, job);
    drain.started();
    observer.onAccepted(id, request);
    job.start(dispatcher, codec.encode(id), deadlineNanos);
  }

  private void finish(SubmissionId id, JobRequest request, JobStatus status, long receivedNanos) {
    long now = timers.nanoTime();
    RunningJob job = ledger.finish(id.sequence(), status, now);
    drain.finished(id.sequence());
    observer.onFinished(id, request, status, Duration.ofNanos(now - receivedNanos));
    if (job.waits().finish(status)) {
      drain.read(id.sequence());
    }
  }

  private SubmitResult recordRefusal(Optional<SubmissionId> id, Bytes bodyDigest, Failure failure) {
    id.ifPresent(
        present -> ledger.refuse(present.sequence(), bodyDigest, failure, timers.nanoTime()));
    return new SubmitResult.Refused(failure);
  }

  /** Returns what was decided on an earlier submission, or empty if there was none. */
  private Optional<SubmitResult> earlierDecision(SubmissionId id, Bytes bodyDigest) {
    return switch (state(id)) {
      case LedgerState.Issued issued -> Optional.empty();
      case LedgerState.Accepted accepted ->
          Optional.of(repeated(id, accepted.bodyDigest(), bodyDigest));
      case LedgerState.Finished finished ->
          Optional.of(repeated(id, finished.bodyDigest(), bodyDigest));
      case LedgerState.Refused refused -> Optional.of(refusedAgain(refused, bodyDigest));
      case LedgerState.Expired expired -> refused(LookupFailures.expired(id, expired));
      case LedgerState.NotIssued notIssued -> refused(LookupFailures.notIssued(id));
      case LedgerState.Foreign foreign -> refused(LookupFailures.foreign(id, self));
    };
  }

  private static SubmitResult repeated(SubmissionId id, Bytes knownDigest, Bytes bodyDigest) {
    return knownDigest.equals(bodyDigest)
        ? new SubmitResult.Duplicate(id)
        : new SubmitResult.Refused(LookupFailures.reused(RunOutcome.MAY_HAVE_RUN));
  }

  private static SubmitResult refusedAgain(LedgerState.Refused refused, Bytes bodyDigest) {
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

  private LedgerState state(SubmissionId id) {
    long now = advance();
    return handedOver
        .find(id, now)
        .map(JobService::stateOf)
        .orElseGet(() -> owns(id) ? ledger.state(id.sequence()) : new LedgerState.Foreign());
  }

  private static LedgerState stateOf(Handover.Entry entry) {
    return entry.refused() && entry.status() instanceof JobStatus.Failed failed
        ? new LedgerState.Refused(entry.bodyDigest(), failed.failure())
        : new LedgerState.Finished(entry.bodyDigest(), entry.status());
  }

  private static Failure draining() {
    return Failure.notRun(ErrorKind.DRAINING, "this entry VM is stopping").retryAfter(RETRY_AFTER);
  }

  private long advance() {
    long now = timers.nanoTime();
    ledger.advance(now);
    return now;
  }

  private void housekeeping() {
    handedOver.expire(advance());
    drain.check();
  }
}
