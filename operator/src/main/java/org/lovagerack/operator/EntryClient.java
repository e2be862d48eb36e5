package org.lovagerack.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/**
 * Calls entry VMs in the order of the options. Tries the next one if an entry VM cannot be reached
 * or its answer is lost.
 */
final class EntryClient implements AutoCloseable {

  private final List<EntryAddress> addresses;
  private final HttpSender sender;

  EntryClient(List<EntryAddress> addresses, HttpSender sender) {
    this.addresses = new ArrayList<>(addresses);
    this.sender = sender;
  }

  /**
   * Sends a call.
   *
   * @return the JSON object of the answer
   * @throws LovagerackException with the failure that the entry VM reported, or of kind {@code
   *     ENTRY_UNREACHABLE} if none answered
   */
  ObjectNode call(EntryCall call) throws LovagerackException {
    List<String> reasons = new ArrayList<>();
    RunOutcome outcome = RunOutcome.NOT_RUN;
    for (EntryAddress address : List.copyOf(addresses)) {
      switch (sender.send(address, call)) {
        case EntryCallResult.Answered answered -> {
          moveToFront(address);
          return EntryResponseReader.read(address, answered);
        }
        case EntryCallResult.NotSent notSent -> reasons.add(address + ": " + notSent.reason());
        case EntryCallResult.Lost lost -> {
          reasons.add(address + ": answer lost: " + lost.reason());
          outcome = RunOutcome.MAY_HAVE_RUN;
        }
      }
    }
    throw unreachable(outcome, reasons);
  }

  /** Makes later calls start with an entry VM that answered, to avoid repeated timeouts. */
  private void moveToFront(EntryAddress address) {
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
