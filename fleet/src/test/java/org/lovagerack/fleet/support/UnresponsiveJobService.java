package org.lovagerack.fleet.support;

import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Submission;

/** Job service that never answers. */
public class UnresponsiveJobService implements JobService {

  @Override
  public void submit(Submission submission, Consumer<JobAnswer> callback) {}

  @Override
  public void abandon(Submission submission) {}

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {}

  @Override
  public void cancel(String jobId, Consumer<JobAnswer> callback) {}

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {}
}
