package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.ObjectStore;
import org.lovagerack.platform.PlatformException;
import org.lovagerack.platform.Row;
import org.lovagerack.platform.TableService;
import org.lovagerack.platform.Transaction;

/** In-memory table service and object store with latency and a read rate limit that count calls. */
final class CountingPlatform implements TableService, ObjectStore {

  private static final Duration READ_TIME = Duration.ofMillis(5);
  private static final Duration WRITE_TIME = Duration.ofMillis(10);
  private static final long READ_INTERVAL_NANOS = 1_000_000_000L / 2_000;

  private final DrivenTimer timer;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, String> objects = new HashMap<>();
  private long nextReadNanos;
  private long tableReads;
  private long objectReads;
  private long objectReadChars;
  private long writes;
  private boolean available = true;

  CountingPlatform(DrivenTimer timer) {
    this.timer = timer;
  }

  void setAvailable(boolean available) {
    this.available = available;
  }

  long tableReads() {
    return tableReads;
  }

  long objectReads() {
    return objectReads;
  }

  long objectReadChars() {
    return objectReadChars;
  }

  long writes() {
    return writes;
  }

  /** Stores a snapshot and its head row as a publisher does. */
  void install(long revision, String snapshot) {
    objects.put("deployments/" + revision, snapshot);
    String head = "{\"revision\":" + revision + ",\"snapshot\":" + revision + "}";
    rows.put("notes/head", new Row("notes/head", 1, head));
  }

  @Override
  public CompletionStage<Optional<Row>> read(String key) {
    tableReads++;
    return answer(readTime(), () -> Optional.ofNullable(rows.get(key)));
  }

  @Override
  public CompletionStage<List<Row>> scan(String prefix, String after, int limit) {
    tableReads++;
    return answer(
        readTime(),
        () ->
            rows.tailMap(after, false).values().stream()
                .filter(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList());
  }

  @Override
  public CompletionStage<CommitResult> commit(Transaction transaction) {
    writes++;
    return answer(WRITE_TIME, () -> apply(transaction));
  }

  @Override
  public CompletionStage<Optional<String>> get(String name) {
    objectReads++;
    return answer(
        readTime(),
        () -> {
          Optional<String> contents = Optional.ofNullable(objects.get(name));
          objectReadChars += contents.map(String::length).orElse(0);
          return contents;
        });
  }

  @Override
  public CompletionStage<Void> put(String name, String contents) {
    writes++;
    return answer(
        WRITE_TIME,
        () -> {
          objects.put(name, contents);
          return null;
        });
  }

  /** Returns the response time of a read that arrives now, including queueing. */
  private Duration readTime() {
    long start = Math.max(nextReadNanos, timer.nanoTime());
    nextReadNanos = start + READ_INTERVAL_NANOS;
    return Duration.ofNanos(start - timer.nanoTime()).plus(READ_TIME);
  }

  private <T> CompletionStage<T> answer(Duration time, Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (available) {
      timer.after(time, () -> answer.complete(effect.get()));
    } else {
      timer.after(
          time,
          () ->
              answer.completeExceptionally(
                  new PlatformException(PlatformException.Effect.NOT_APPLIED, "unavailable")));
    }
    return answer;
  }

  private CommitResult apply(Transaction transaction) {
    boolean conflict =
        transaction.conditions().stream()
            .anyMatch(condition -> version(condition.key()) != condition.version());
    if (conflict) {
      return CommitResult.CONFLICT;
    }
    transaction
        .writes()
        .forEach(
            write ->
                rows.put(
                    write.key(), new Row(write.key(), version(write.key()) + 1, write.value())));
    return CommitResult.COMMITTED;
  }

  private long version(String key) {
    return rows.containsKey(key) ? rows.get(key).version() : 0;
  }
}
