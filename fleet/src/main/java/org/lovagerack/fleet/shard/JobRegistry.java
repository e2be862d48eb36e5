package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.job.TaskId;

/**
 * Jobs of a shard that have not ended, by identifier, and the queue of those with tasks to place.
 */
final class JobRegistry {

  private final Map<String, Job> jobs = new HashMap<>();
  private final TaskQueue queue = new TaskQueue();

  Optional<Job> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /** Returns a task; empty if its job has ended or is unknown. */
  Optional<Task> find(TaskId taskId) {
    return find(taskId.jobId()).map(job -> job.task(taskId));
  }

  void add(Job job) {
    jobs.put(job.id(), job);
  }

  void remove(Job job) {
    jobs.remove(job.id());
    queue.remove(job);
  }

  Collection<Job> all() {
    return List.copyOf(jobs.values());
  }

  TaskQueue queue() {
    return queue;
  }

  /** Returns the number of active jobs of a queue without a started task. */
  long pending(String queueName) {
    return jobs.values().stream()
        .filter(
            job ->
                job.phase() == Job.Phase.ACTIVE
                    && !job.started()
                    && !job.hosted()
                    && job.queue().name().equals(queueName))
        .count();
  }
}
