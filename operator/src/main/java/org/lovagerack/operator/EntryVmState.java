package org.lovagerack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The revision that one entry VM has in force, as reported by {@code in-force}.
 *
 * @param address peer address
 * @param failureDomain failure domain; empty if unreachable
 * @param state serving, draining or unreachable
 * @param revision revision in force; -1 if none or unknown
 */
record EntryVmState(String address, String failureDomain, String state, long revision) {

  private static final String UNREACHABLE = "unreachable";
  private static final String COLUMNS = "%-24s  %-16s  %-12s  %8s%n";

  static List<EntryVmState> readAll(JsonNode answer) {
    List<EntryVmState> states = new ArrayList<>();
    for (JsonNode node : answer.path("entryVms")) {
      states.add(
          new EntryVmState(
              node.path("address").asText(),
              node.path("failureDomain").asText(),
              node.path("state").asText(UNREACHABLE),
              node.path("revision").asLong(-1)));
    }
    return states;
  }

  static List<String> unreachableAddresses(List<EntryVmState> states) {
    return states.stream()
        .filter(state -> !state.reachable())
        .map(EntryVmState::address)
        .sorted()
        .toList();
  }

  /** Returns the addresses of reachable entry VMs with a revision below the given one. */
  static List<String> addressesBehind(List<EntryVmState> states, long revision) {
    return states.stream()
        .filter(state -> state.reachable() && state.revision < revision)
        .map(EntryVmState::address)
        .sorted()
        .toList();
  }

  static String table(List<EntryVmState> states) {
    StringBuilder table =
        new StringBuilder(COLUMNS.formatted("entry VM", "failure domain", "state", "revision"));
    states.forEach(
        state ->
            table.append(
                COLUMNS.formatted(
                    state.address,
                    state.failureDomain,
                    state.state,
                    state.revision < 0 ? "-" : Long.toString(state.revision))));
    return table.toString();
  }

  private boolean reachable() {
    return !state.equals(UNREACHABLE);
  }
}
