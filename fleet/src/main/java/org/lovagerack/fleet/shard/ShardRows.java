package org.lovagerack.fleet.shard;

import java.util.List;
import java.util.stream.IntStream;
import org.lovagerack.fleet.store.RowKey;

/** Tables and keys of one shard. All rows of a shard are in one partition. */
public record ShardRows(String partition) {

  /** Table that names the owner of every shard; a row changes only with the owner or its token. */
  public static final String OWNER_TABLE = "lovagerack-owner";

  private static final String LEASE_TABLE = "lovagerack-lease";
  private static final String JOB_TABLE = "lovagerack-job";
  private static final String PROGRESS_TABLE = "lovagerack-progress";
  private static final String ENDED_TABLE = "lovagerack-ended";
  private static final String SINGLE_KEY = "shard";

  /** Returns the rows of a shard. */
  public static ShardRows of(int shard) {
    return new ShardRows("shard-" + shard);
  }

  /** Returns the partitions of all shards. */
  public static List<String> partitions(int shards) {
    return IntStream.range(0, shards).mapToObj(shard -> of(shard).partition()).toList();
  }

  /** Returns the row of the lease, which every transaction of the owner rewrites. */
  RowKey lease() {
    return new RowKey(LEASE_TABLE, partition, SINGLE_KEY);
  }

  /** Returns the row that names the owner to other VMs. */
  RowKey owner() {
    return new RowKey(OWNER_TABLE, partition, SINGLE_KEY);
  }

  /** Returns the row of a job that has not ended. */
  public RowKey job(String jobId) {
    return new RowKey(JOB_TABLE, partition, jobId);
  }

  /** Returns the row of the progress of a job that has not ended. */
  RowKey progress(String jobId) {
    return new RowKey(PROGRESS_TABLE, partition, jobId);
  }

  /** Returns the row of an ended job. */
  public RowKey ended(String jobId) {
    return new RowKey(ENDED_TABLE, partition, jobId);
  }

  String jobTable() {
    return JOB_TABLE;
  }

  String progressTable() {
    return PROGRESS_TABLE;
  }
}
