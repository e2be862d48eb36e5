package org.lovagerack.fleet.worker;

/**
 * Identity of a worker in the directory. A worker can keep its identity when it restarts; its
 * incarnation changes then.
 *
 * @param value name that the platform gave to the worker
 */
public record WorkerId(String value) {

  @Override
  public String toString() {
    return value;
  }
}
