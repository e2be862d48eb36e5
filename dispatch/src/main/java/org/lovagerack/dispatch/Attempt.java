package org.lovagerack.dispatch;

/** An attempt in flight. */
public interface Attempt {

  /** Gives the attempt up: closes its connection and reports no result. */
  void cancel();
}
