package org.lovagerack.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.LoadUpdate;

/** Reconstructs a peer's attempts in flight from the updates received on one connection. */
final class LoadReader {

  private final List<String> names = new ArrayList<>();
  private final Map<String, Integer> inFlight = new HashMap<>();

  /** Returns the attempts in flight per upstream, without zero counts. */
  Map<String, Integer> inFlight() {
    return inFlight;
  }

  void apply(LoadUpdate update) throws LovagerackException {
    if (update.getReset()) {
      names.clear();
      inFlight.clear();
    }
    names.addAll(update.getNewNamesList());
    if (update.getAllCountsCount() > 0 && update.getAllCountsCount() != names.size()) {
      throw InvalidFrame.because(
          update.getAllCountsCount() + " counts for " + names.size() + " upstreams");
    }
    for (int number = 0; number < update.getAllCountsCount(); number++) {
      set(number, update.getAllCounts(number));
    }
    if (update.getChangedCountsCount() % 2 != 0) {
      throw InvalidFrame.because("a changed upstream has no count");
    }
    int number = -1;
    for (int position = 0; position < update.getChangedCountsCount(); position += 2) {
      number += update.getChangedCounts(position);
      set(number, update.getChangedCounts(position + 1));
    }
  }

  private void set(int number, int count) throws LovagerackException {
    if (number < 0 || number >= names.size() || count < 0) {
      throw InvalidFrame.because("count " + count + " for upstream number " + number);
    }
    if (count == 0) {
      inFlight.remove(names.get(number));
    } else {
      inFlight.put(names.get(number), count);
    }
  }
}
