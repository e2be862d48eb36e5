package org.lovagerack.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagerack.platform.CommitResult;
import org.lovagerack.platform.Condition;
import org.lovagerack.platform.Row;
import org.lovagerack.platform.Transaction;
import org.lovagerack.platform.VmEntry;
import org.lovagerack.platform.VmSnapshot;
import org.lovagerack.platform.Write;

/** State of the platform stand-in: table rows, objects and VM lists. */
final class PlatformState {

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, String> objects = new HashMap<>();
  private final TreeMap<Long, VmSnapshot> vmListsByNanos = new TreeMap<>();
  private long vmListVersion;

  Row read(String key) {
    return rows.get(key);
  }

  List<Row> scan(String prefix, String after, int limit) {
    List<Row> found = new ArrayList<>();
    boolean fromPrefix = after.compareTo(prefix) < 0;
    for (Row row : rows.tailMap(fromPrefix ? prefix : after, fromPrefix).values()) {
      if (!row.key().startsWith(prefix) || found.size() == limit) {
        break;
      }
      found.add(row);
    }
    return found;
  }

  CommitResult commit(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      if (version(condition.key()) != condition.version()) {
        return CommitResult.CONFLICT;
      }
    }
    for (Write write : transaction.writes()) {
      rows.put(write.key(), new Row(write.key(), version(write.key()) + 1, write.value()));
    }
    return CommitResult.COMMITTED;
  }

  private long version(String key) {
    Row row = rows.get(key);
    return row == null ? 0 : row.version();
  }

  String get(String name) {
    return objects.get(name);
  }

  void put(String name, String contents) {
    objects.put(name, contents);
  }

  void setVms(long nowNanos, List<VmEntry> entries) {
    vmListsByNanos.put(nowNanos, new VmSnapshot(++vmListVersion, entries));
  }

  /** Returns the VM list as of the given time, and removes older ones. */
  VmSnapshot vms(long nanos) {
    Map.Entry<Long, VmSnapshot> entry = vmListsByNanos.floorEntry(nanos);
    if (entry == null) {
      return new VmSnapshot(0, List.of());
    }
    vmListsByNanos.headMap(entry.getKey()).clear();
    return entry.getValue();
  }
}
