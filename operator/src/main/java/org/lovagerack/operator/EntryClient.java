package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/**
 * Calls entry VMs in the order of the options, and goes to the next when one cannot be reached or
 * its answer is lost.
 */
final class EntryClient implements AutoCloseable {

  private final List<EntryAddress> addresses;
  private final HttpSender sender;

  EntryClient(List<EntryAddress> addresses, HttpSender sender) {
    this.addresses = new ArrayList<>(addresses);
    this.sender = sender;
  }

  /**
   * Makes a call.
   *
   * @return the JSON object of the answer
   * @throws LovagerackException with the failure that the entry VM answered, or of kind {@code
   *     ENTRY_UNREACHABLE} if none answered
   */
  ObjectNode call(EntryCall call) throws LovagerackException {
    List<String> reasons = new ArrayList<>();
    RunOutcome outcome = RunOutcome.NOT_RUN;
    for (EntryAddress address : List.copyOf(addresses)) {
      switch (sender.send(address, call)) {
        case EntryAttempt.Answered answered -> {
          prefer(address);
          return EntryAnswers.read(address, answered);
        }
        case EntryAttempt.NotSent notSent -> reasons.add(address + ": " + notSent.reason());
        case EntryAttempt.Lost lost -> {
          reasons.add(address + ": answer lost: " + lost.reason());
          outcome = RunOutcome.MAY_HAVE_RUN;
        }
      }
    }
    throw unreachable(outcome, reasons);
  }

  /** Later calls start with an entry VM that answered, which saves a timeout for each. */
  private void prefer(EntryAddress address) {
    addresses.remove(address);
    addresses.addFirst(address);
  }

  private static LovagerackException unreachable(RunOutcome outcome, List<String> reasons) {
    String detail = String.join("; ", reasons);
    return new LovagerackException(
        outcome == RunOutcome.NOT_RUN
            ? Failure.notRun(ErrorKind.ENTRY_UNREACHABLE, detail)
            : Failure.mayHaveRun(ErrorKind.ENTRY_UNREACHABLE, detail));
  }

  @Override
  public void close() {
    sender.close();
  }
}
