package org.lovagerack.notes;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An immutable map whose changed copies share most of their memory with the original. Entries are
 * spread over about sqrt(n) buckets of about sqrt(n) entries each. A copy with few changes copies
 * only the list of buckets and the changed buckets, which takes O(sqrt n).
 */
final class BucketMap<V> extends AbstractMap<String, V> {

  private static final int MIN_BITS = 3;

  private final List<Map<String, V>> buckets;
  private final int bits;
  private final int size;

  private BucketMap(List<Map<String, V>> buckets, int bits, int size) {
    this.buckets = buckets;
    this.bits = bits;
    this.size = size;
  }

  /** Returns an immutable copy, or the map itself if it is already a bucket map. */
  static <V> BucketMap<V> copyOf(Map<String, V> map) {
    return map instanceof BucketMap<V> shared ? shared : build(map, bitsFor(map.size()));
  }

  /** Returns a copy with some keys removed and some entries set. */
  BucketMap<V> with(Collection<String> removed, Map<String, V> set) {
    if (removed.isEmpty() && set.isEmpty()) {
      return this;
    }
    List<Map<String, V>> changed = new ArrayList<>(buckets);
    int changedSize = size;
    for (String key : removed) {
      changedSize -= copiedBucket(changed, key).remove(key) == null ? 0 : 1;
    }
    for (Entry<String, V> entry : set.entrySet()) {
      Map<String, V> bucket = copiedBucket(changed, entry.getKey());
      changedSize += bucket.put(entry.getKey(), entry.getValue()) == null ? 1 : 0;
    }
    BucketMap<V> result = new BucketMap<>(changed, bits, changedSize);
    return bitsFor(changedSize) > bits ? build(result, bitsFor(changedSize)) : result;
  }

  /** Returns the bucket of a key in {@code changed}, copied before its first change. */
  private Map<String, V> copiedBucket(List<Map<String, V>> changed, String key) {
    int index = index(key, bits);
    if (changed.get(index) == buckets.get(index)) {
      changed.set(index, new HashMap<>(buckets.get(index)));
    }
    return changed.get(index);
  }

  private static <V> BucketMap<V> build(Map<String, V> map, int bits) {
    List<Map<String, V>> buckets = new ArrayList<>();
    for (int i = 0; i < 1 << bits; i++) {
      buckets.add(new HashMap<>());
    }
    map.forEach((key, value) -> buckets.get(index(key, bits)).put(key, value));
    return new BucketMap<>(buckets, bits, map.size());
  }

  private static int bitsFor(int size) {
    int bits = MIN_BITS;
    while (size > 1L << (2 * bits)) {
      bits++;
    }
    return bits;
  }

  /** Uses the upper bits of a product, because {@link HashMap} uses the lower bits of the hash. */
  private static int index(String key, int bits) {
    return (key.hashCode() * 0x9E3779B9) >>> (Integer.SIZE - bits);
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public V get(Object key) {
    return key instanceof String text ? buckets.get(index(text, bits)).get(text) : null;
  }

  @Override
  public boolean containsKey(Object key) {
    return get(key) != null;
  }

  @Override
  public Set<Entry<String, V>> entrySet() {
    return new AbstractSet<>() {
      @Override
      public Iterator<Entry<String, V>> iterator() {
        return buckets.stream()
            .flatMap(bucket -> Collections.unmodifiableMap(bucket).entrySet().stream())
            .iterator();
      }

      @Override
      public int size() {
        return size;
      }
    };
  }
}
