package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against a change to one revision that alters another one. */
final class BucketMapTest {

  /** Compares bucket maps with plain maps, including growth through several bucket counts. */
  @Property(tries = 60, seed = "20261204")
  void changedMapsLeaveOriginalsUnchanged(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 3_000) Integer> choices) {
    BucketMap<Integer> shared = BucketMap.copyOf(Map.of());
    Map<String, Integer> plain = new HashMap<>();
    for (int choice : choices) {
      BucketMap<Integer> before = shared;
      Map<String, Integer> plainBefore = Map.copyOf(plain);
      List<String> removed = plain.keySet().stream().limit(choice % 40).toList();
      Map<String, Integer> set = new HashMap<>();
      for (int i = choice; i < choice + choice % 200; i++) {
        set.put("key" + i, choice);
      }
      plain.keySet().removeAll(removed);
      plain.putAll(set);

      shared = before.with(removed, set);

      assertThat(shared).isEqualTo(plain).hasSize(plain.size());
      assertThat(before).isEqualTo(plainBefore);
    }
  }
}
