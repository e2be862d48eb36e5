package org.lovagerack.fleet.shard;

/**
 * Load of one service in one shard, in tasks of the size that the shard has received recently.
 *
 * @param shard index of the shard
 * @param service service of the workers
 * @param freeTasks number of tasks that the workers could start now
 * @param waitingTasks number of queued tasks
 * @param capacityTasks number of tasks that the workers can run at the same time
 */
public record ShardLoad(
    int shard, String service, int freeTasks, int waitingTasks, int capacityTasks) {

  /**
   * @throws IllegalArgumentException if a number is negative
   */
  public ShardLoad {
    if (shard < 0 || freeTasks < 0 || waitingTasks < 0 || capacityTasks < 0) {
      throw new IllegalArgumentException(
          "load of shard " + shard + ": " + freeTasks + ", " + waitingTasks + ", " + capacityTasks);
    }
  }

  /** Returns the number of further tasks that could start at once; negative if tasks wait. */
  int availableTasks() {
    return freeTasks - waitingTasks;
  }

  /** Returns the available tasks relative to the capacity; comparable between shards. */
  double headroom() {
    return capacityTasks == 0
        ? Double.NEGATIVE_INFINITY
        : (double) availableTasks() / capacityTasks;
  }

  /** Returns the load after further tasks have been added to the queue. */
  ShardLoad plus(int tasks) {
    return new ShardLoad(shard, service, freeTasks, waitingTasks + tasks, capacityTasks);
  }
}
