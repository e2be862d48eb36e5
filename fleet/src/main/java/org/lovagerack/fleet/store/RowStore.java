package org.lovagerack.fleet.store;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Transactional row store. Every callback runs once, on the caller's event loop. */
public interface RowStore {

  /** Maximum number of rows that one read returns. */
  int MAX_PAGE_ROWS = 500;

  /** Applies a transaction. */
  void commit(RowTransaction transaction, Duration timeout, Consumer<CommitOutcome> callback);

  /**
   * Reads the rows of a partition, ordered by key.
   *
   * @param from first key to read; empty for the start of the partition
   * @param limit maximum number of rows; the store may return fewer
   */
  void read(
      String table,
      String partition,
      String from,
      int limit,
      Duration timeout,
      Consumer<ReadOutcome> callback);

  /**
   * Reads one row.
   *
   * @param found receives the row; empty if there is none
   * @param failed receives the failure if the store could not be read
   */
  default void readRow(
      RowKey key,
      Duration timeout,
      Consumer<Optional<StoredRow>> found,
      Consumer<ReadOutcome> failed) {
    read(
        key.table(),
        key.partition(),
        key.key(),
        1,
        timeout,
        outcome -> {
          if (outcome instanceof ReadOutcome.Rows page) {
            found.accept(page.rows().stream().filter(row -> row.key().equals(key)).findFirst());
          } else {
            failed.accept(outcome);
          }
        });
  }

  /**
   * Reads the changes of a table after a version, and waits for one if there is none.
   *
   * @param after version after which changes are reported
   * @param wait maximum time to wait for a change
   */
  void feed(String table, long after, Duration wait, Consumer<ReadOutcome> callback);
}
