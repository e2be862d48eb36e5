package review;

/**
 * Runs a case: its name, the root of the repository, the folder of the case and a temporary folder.
 * Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
final class Main {

  private static final long LIMIT_MS = 112_000;

  private Main() {}

  public static void main(String[] arguments) {
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              try {
                Thread.sleep(LIMIT_MS);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("the case did not end in time");
              System.exit(2);
            });
    try {
      String[] folders = {arguments[1], arguments[2], arguments[3]};
      switch (arguments[0]) {
        case "unlisted-executor" -> UnlistedExecutor.run(folders);
        case "rack-taken-away" -> RackTakenAway.run(folders);
        case "failed-runs" -> FailedRuns.run(folders);
        case "executor-cut-off" -> ExecutorCutOff.run(folders);
        case "executors-reborn" -> ExecutorsReborn.run(folders);
        default -> throw new IllegalArgumentException("unknown case " + arguments[0]);
      }
      throw new IllegalStateException("the case gave no verdict");
    } catch (Throwable e) {
      e.printStackTrace();
      System.exit(2);
    }
  }
}
