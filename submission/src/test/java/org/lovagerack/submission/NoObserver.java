package org.lovagerack.submission;

import java.time.Duration;
import org.lovagerack.foundation.error.Failure;

/** Ignores all events. */
final class NoObserver implements JobObserver {
  @Override
  public void onIssued(int count) {}

  @Override
  public void onAccepted(SubmissionId id, JobRequest request) {}

  @Override
  public void onDuplicate(SubmissionId id) {}

  @Override
  public void onRefused(JobRequest request, Failure failure) {}

  @Override
  public void onFinished(SubmissionId id, JobRequest request, JobStatus status, Duration elapsed) {}
}
