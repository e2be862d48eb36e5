package org.lovagerack.eventloop;

/**
 * Ends the process after an {@link OutOfMemoryError}, so that it is restarted: a process whose
 * event loop has lost an event may stay alive without serving anybody. {@code
 * -XX:+ExitOnOutOfMemoryError} does the same for errors that the JVM throws, but not for those that
 * Java code throws, such as the one for direct buffers.
 */
public final class OutOfMemoryExit {

  /** Exit code of the JVM with {@code -XX:+ExitOnOutOfMemoryError}. */
  static final int EXIT_CODE = 3;

  /** Ends the search in a cyclic chain of causes. */
  private static final int MAX_DEPTH = 16;

  private OutOfMemoryExit() {}

  /** Ends the process if an error, which may be null, is or was caused by a lack of memory. */
  public static void check(Throwable error) {
    if (error != null && isOutOfMemory(error)) {
      // Without shutdown hooks, which need memory themselves.
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }

  static boolean isOutOfMemory(Throwable error) {
    Throwable cause = error;
    for (int depth = 0; cause != null && depth < MAX_DEPTH; depth++) {
      if (cause instanceof OutOfMemoryError) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
