package org.lovagerack.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagerack.membership.generated.PeerProtocol.LoadUpdate;

/**
 * Encodes the attempts in flight as updates, the same for all peers. Names are sent once and
 * numbered. An update carries either all counts or only the changed ones, whichever is smaller
 * after compression.
 */
final class LoadWriter {

  /** Number of names of upstreams without attempts above which the table of names is reset. */
  private static final int MAX_IDLE_NAMES = 4_096;

  private final Set<String> known = new HashSet<>();
  private final List<String> names = new ArrayList<>();
  private final List<Integer> counts = new ArrayList<>();

  /** Returns the update for a receiver of all earlier updates; empty if nothing changed. */
  Optional<CompressedLoads> update(Map<String, Integer> inFlight) {
    boolean reset = names.size() > MAX_IDLE_NAMES + 2 * inFlight.size();
    if (reset) {
      known.clear();
      names.clear();
      counts.clear();
    }
    int knownNames = names.size();
    addNewNames(inFlight);
    LoadUpdate.Builder changes = LoadUpdate.newBuilder();
    int previous = -1;
    for (int number = 0; number < names.size(); number++) {
      int count = inFlight.getOrDefault(names.get(number), 0);
      if (counts.get(number) != count) {
        counts.set(number, count);
        changes.addChangedCounts(number - previous).addChangedCounts(count);
        previous = number;
      }
    }
    if (!reset && changes.getChangedCountsCount() == 0) {
      return Optional.empty();
    }
    List<String> newNames = names.subList(knownNames, names.size());
    changes.setReset(reset).addAllNewNames(newNames);
    LoadUpdate all =
        LoadUpdate.newBuilder()
            .setReset(reset)
            .addAllNewNames(newNames)
            .addAllAllCounts(counts)
            .build();
    return Optional.of(CompressedLoads.of(changes.build()).orSmaller(CompressedLoads.of(all)));
  }

  /** Returns the state as of the last update, for a receiver without earlier updates. */
  CompressedLoads snapshot() {
    return CompressedLoads.of(
        LoadUpdate.newBuilder()
            .setReset(true)
            .addAllNewNames(names)
            .addAllAllCounts(counts)
            .build());
  }

  /** Adds new names in sorted order, so that the bytes do not depend on the order of the map. */
  private void addNewNames(Map<String, Integer> inFlight) {
    inFlight.entrySet().stream()
        .filter(entry -> entry.getValue() > 0 && !known.contains(entry.getKey()))
        .map(Map.Entry::getKey)
        .sorted()
        .forEach(
            upstream -> {
              known.add(upstream);
              names.add(upstream);
              counts.add(0);
            });
  }
}
