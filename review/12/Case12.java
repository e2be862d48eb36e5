package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Entry VMs are stopped and started in turn while jobs wait for the only worker with a label. */
final class Case12 {

  /** Three shards; the last rack has one worker. */
  private static final int WORKERS = 121;

  private static final int RACK_SIZE = 6;
  private static final String LABEL = "r1-21";
  private static final int JOBS = 60;
  private static final int TASK_CPU = 16_000;
  private static final int TASK_MILLIS = 3000;

  /** Disruption {@code roll_term}: one at a time, 2 s apart. */
  private static final long GAP_MILLIS = 2000;

  /** Bounds {@code contact_ms}, and {@code visible_ms} with the 2 s of the rule. */
  private static final long CONTACT_MILLIS = 3000;

  private static final long VISIBLE_MILLIS = 5000;
  private static final int QUESTIONS = 3;

  /** Exit code for a broken rule; 1 is also that of a virtual machine that cannot start. */
  private static final int BROKEN = 10;

  private Case12() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Stage stage = new Stage(Path.of(arguments[0]), WORKERS, RACK_SIZE, 16_000, 3)) {
      stage.startVms(3);
      Thread.sleep(2000);
      exit = play(stage, trouble) ? BROKEN : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  /** Returns whether the rule was broken. */
  private static boolean play(Stage stage, boolean trouble) throws Exception {
    List<Stage.Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      ObjectNode body = Stage.job("ms=" + TASK_MILLIS + " how=done", 1, TASK_CPU, TASK_MILLIS);
      ((ObjectNode) body.path("steps").path(0)).put("required_label", LABEL);
      jobs.add(stage.submit(stage.vms.get(i % stage.vms.size()), body, 1));
    }
    Thread.sleep(VISIBLE_MILLIS);
    ask(stage, jobs);
    for (Stage.Vm vm : stage.vms) {
      if (trouble) {
        stage.signal(vm, "TERM");
        vm.process.waitFor();
        stage.log.line(vm.name, "has ended with " + vm.process.exitValue());
        stage.startProcess(vm);
        stage.awaitReady(List.of(vm), 15_000);
      } else {
        Thread.sleep(8000);
      }
      Thread.sleep(GAP_MILLIS);
    }
    Thread.sleep(CONTACT_MILLIS + VISIBLE_MILLIS);
    int broken = 0;
    for (int i = 0; i < QUESTIONS; i++) {
      broken += ask(stage, jobs);
      Thread.sleep(2000);
    }
    stage.log.show(broken + " wrong counts of " + QUESTIONS * stage.vms.size());
    return broken > 0;
  }

  /** Asks each entry VM for the number of pending jobs; returns how many gave under half of it. */
  private static int ask(Stage stage, List<Stage.Job> jobs) throws Exception {
    int wrong = 0;
    for (Stage.Vm vm : stage.vms) {
      MiniHttp.Response response =
          MiniHttp.call(vm.clientAddress, "GET", Stage.PREFIX, Stage.HOST, 1500, "");
      // Counted after the answer: jobs may begin meanwhile, which favours the system.
      long waiting =
          jobs.stream()
              .filter(job -> job.accepted)
              .filter(job -> !stage.runs.begun(job.id))
              .count();
      if (response.status() != 200) {
        stage.log.show(vm.name + " answers " + response.status());
        continue;
      }
      long pending = Store.MAPPER.readTree(response.body()).path("pending").asLong();
      boolean tooFew = 2 * pending < waiting;
      wrong += tooFew ? 1 : 0;
      stage.log.show(
          vm.name
              + " gives "
              + pending
              + " as pending; "
              + waiting
              + " accepted jobs have not begun"
              + (tooFew ? ": MIXED" : ""));
    }
    return wrong;
  }
}
