package org.lovagerack.fleet.worker;

/**
 * Identity of a worker in the directory. A worker can retain its identity when it restarts, but its
 * incarnation changes.
 *
 * @param value name that the platform gave to the worker
 */
public record WorkerId(String value) {

  @Override
  public String toString() {
    return value;
  }
}
