package org.lovagerack.fleet.worker;

/**
 * Identity of a worker in the directory. A worker that starts again may keep its identity; its
 * incarnation then differs.
 *
 * @param value the platform's name
 */
public record WorkerId(String value) {

  @Override
  public String toString() {
    return value;
  }
}
