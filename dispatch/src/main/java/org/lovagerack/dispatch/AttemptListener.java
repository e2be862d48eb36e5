package org.lovagerack.dispatch;

/** Receives the result of an attempt. */
public interface AttemptListener {

  /** Called at most once for each attempt; never after the attempt was cancelled. */
  void onResult(AttemptResult result);
}
