package org.lovagerack.dispatch;

/** An attempt in flight. */
public interface Attempt {

  /** Cancels the attempt: closes its connection and reports no result. */
  void cancel();
}
