package org.lovagerack.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagerack.foundation.data.Bytes;

/** Records attempts and lets the test deliver their results. */
final class RecordingTransport implements UpstreamTransport {

  final List<SentAttempt> sent = new ArrayList<>();
  final Map<String, Integer> connectionLimits = new HashMap<>();
  final List<String> idleClosed = new ArrayList<>();
  private final Consumer<SentAttempt> onStart;

  RecordingTransport(Consumer<SentAttempt> onStart) {
    this.onStart = onStart;
  }

  @Override
  public Attempt start(AttemptRequest request, AttemptListener listener) {
    SentAttempt attempt = new SentAttempt(request, listener);
    onStart.accept(attempt);
    sent.add(attempt);
    return attempt;
  }

  @Override
  public void limitConnections(String upstream, int connections) {
    connectionLimits.put(upstream, connections);
  }

  @Override
  public void closeIdleConnections(String upstream) {
    idleClosed.add(upstream);
  }

  /** Returns the attempts without a result that were not cancelled. */
  List<SentAttempt> open() {
    return sent.stream().filter(SentAttempt::open).toList();
  }

  /** Returns the open attempts at an upstream. */
  int openAt(String upstream) {
    return (int) open().stream().filter(s -> s.request.upstream().equals(upstream)).count();
  }

  /** One attempt that the dispatcher started. */
  static final class SentAttempt implements Attempt {

    final AttemptRequest request;
    private final AttemptListener listener;
    AttemptResult result;
    boolean cancelled;

    SentAttempt(AttemptRequest request, AttemptListener listener) {
      this.request = request;
      this.listener = listener;
    }

    boolean open() {
      return result == null && !cancelled;
    }

    void deliver(AttemptResult value) {
      result = value;
      listener.onResult(value);
    }

    /** Answers with the key of the task, which identifies the answer. */
    void succeed() {
      answer(200);
    }

    void succeedAndClose() {
      deliver(new AttemptResult.Answered(200, Bytes.ofText(request.taskKey()), true));
    }

    void answer(int status) {
      deliver(new AttemptResult.Answered(status, Bytes.ofText(request.taskKey()), false));
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
