package org.lovagerack.notes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.ObjectStore;
import org.lovagerack.platform.PlatformException;
import org.lovagerack.platform.PlatformException.Effect;
import org.lovagerack.platform.Row;
import org.lovagerack.platform.TableService;
import org.lovagerack.platform.Transaction;

/** In-memory table service and object store with random faults, on a manually advanced timer. */
final class FakePlatform {

  private static final int NORMAL_MAX_DELAY_MILLIS = 20;

  /** Longer than the timeout of a call, so that some answers arrive after it. */
  private static final int SLOW_MAX_DELAY_MILLIS = 8_000;

  final TreeMap<String, Row> rows = new TreeMap<>();
  final Map<String, String> objects = new HashMap<>();
  final List<String> overwrittenNotes = new ArrayList<>();
  boolean unavailable;
  boolean slow;
  int answersToLose;
  int reads;
  long lastReadNanos;
  private final List<Row> heads = new ArrayList<>();
  private final DrivenTimer timer;
  private final Random random;

  FakePlatform(DrivenTimer timer, Random random) {
    this.timer = timer;
    this.random = random;
  }

  /** Returns the accepted notes by revision. */
  NavigableMap<Long, String> notes() {
    TreeMap<Long, String> notes = new TreeMap<>();
    rows.subMap("notes/0", "notes/head")
        .forEach((key, row) -> notes.put(Long.parseLong(key.substring(6)), row.value()));
    return notes;
  }

  /** The view that one VM has of the platform. */
  final class View implements TableService, ObjectStore {
    boolean reachable = true;

    /** Whether calls are never answered. */
    boolean unresponsive;

    /** Whether reads of the head may return any earlier head. */
    boolean staleHeads;

    @Override
    public CompletionStage<Optional<Row>> read(String key) {
      return call(
          this, false, () -> Optional.ofNullable(staleHeads ? randomHead() : rows.get(key)));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix, String after, int limit) {
      return call(
          this,
          false,
          () ->
              rows.tailMap(after, false).values().stream()
                  .filter(row -> row.key().startsWith(prefix))
                  .limit(limit)
                  .toList());
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
      return call(this, true, () -> apply(transaction));
    }

    @Override
    public CompletionStage<Optional<String>> get(String name) {
      return call(this, false, () -> Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletionStage<Void> put(String name, String contents) {
      return call(
          this,
          true,
          () -> {
            objects.put(name, contents);
            return null;
          });
    }
  }

  private Row randomHead() {
    return heads.isEmpty() ? null : heads.get(random.nextInt(heads.size()));
  }

  private <T> CompletionStage<T> call(View view, boolean write, Supplier<T> effect) {
    reads += write ? 0 : 1;
    lastReadNanos = write ? lastReadNanos : timer.nanoTime();
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (unavailable || !view.reachable || view.unresponsive) {
      failWithoutEffect(answer, write, view.unresponsive ? 2 : random.nextInt(3));
      return answer;
    }
    boolean lost = write && answersToLose > 0;
    if (lost) {
      answersToLose--;
      // The failure may be reported before the write is applied.
      fail(answer, Effect.AMBIGUOUS, random.nextInt(2_000));
    }
    timer.after(
        delay(lost ? 4_000 : NORMAL_MAX_DELAY_MILLIS),
        () -> {
          T value = effect.get();
          if (!lost) {
            timer.after(delay(NORMAL_MAX_DELAY_MILLIS), () -> answer.complete(value));
          }
        });
    return answer;
  }

  private <T> void failWithoutEffect(CompletableFuture<T> answer, boolean write, int faultType) {
    switch (faultType) {
      case 0 -> fail(answer, Effect.NOT_APPLIED, 10);
      case 1 -> fail(answer, write ? Effect.AMBIGUOUS : Effect.NOT_APPLIED, 1_000);
      default -> {
        // Never answered.
      }
    }
  }

  private <T> void fail(CompletableFuture<T> answer, Effect effect, int millis) {
    PlatformException failure = new PlatformException(effect, "simulated fault");
    timer.after(Duration.ofMillis(millis), () -> answer.completeExceptionally(failure));
  }

  private Duration delay(int maxMillis) {
    return Duration.ofMillis(random.nextInt(slow ? SLOW_MAX_DELAY_MILLIS : maxMillis));
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
            write -> {
              if (!write.key().equals("notes/head") && rows.containsKey(write.key())) {
                overwrittenNotes.add(write.key());
              }
              long version = version(write.key()) + 1;
              rows.put(write.key(), new Row(write.key(), version, write.value()));
            });
    heads.add(rows.get("notes/head"));
    return CommitResult.COMMITTED;
  }

  private long version(String key) {
    return rows.containsKey(key) ? rows.get(key).version() : 0;
  }
}
