package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.job.TaskId;

/** The jobs of a shard that have not ended, by their identifiers, and those with tasks to place. */
final class JobBook {

  private final Map<String, Job> jobs = new HashMap<>();
  private final TaskQueue queue = new TaskQueue();

  Optional<Job> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /** Returns a task; empty if its job has ended or is not known. */
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

  /** Counts the jobs of a queue of which no task has started. */
  long pending(String queueName) {
    return jobs.values().stream()
        .filter(
            job ->
                job.phase() == Job.Phase.ACTIVE
                    && !job.started()
                    && job.queue().name().equals(queueName))
        .count();
  }
}
