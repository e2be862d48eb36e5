package org.lovagerack.notes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.lovagerack.foundation.error.LovagerackException;

/** Applies one release note to one deployment and lists the contradictions between them. */
final class NoteApplication {

  private final Deployment base;
  private final ReleaseNote note;
  private final Problems problems = new Problems();

  NoteApplication(Deployment base, ReleaseNote note) {
    this.base = base;
    this.note = note;
  }

  Deployment apply() throws LovagerackException {
    if (note.baseRevision() != base.revision()) {
      problems.add("$.baseRevision", note.baseRevision(), "is not revision " + base.revision());
    }
    ChangeSet added = note.added();
    ChangeSet changed = note.changed();
    Withdrawals withdrawn = note.withdrawn();
    BucketMap<ServiceDefinition> services =
        merge(
            "services",
            base.services(),
            ServiceDefinition::name,
            added.services(),
            changed.services(),
            withdrawn.services());
    BucketMap<UpstreamDefinition> upstreams =
        merge(
            "upstreams",
            base.upstreams(),
            UpstreamDefinition::address,
            added.upstreams(),
            changed.upstreams(),
            withdrawn.upstreams());
    BucketMap<TeamQuota> teams =
        merge(
            "teams",
            base.teams(),
            TeamQuota::team,
            added.teams(),
            changed.teams(),
            withdrawn.teams());
    checkServiceReferences("$.added.upstreams", added.upstreams(), services);
    checkServiceReferences("$.changed.upstreams", changed.upstreams(), services);
    checkWithdrawnServices(upstreams);
    problems.throwIfAny();
    return new Deployment(base.revision() + 1, services, upstreams, teams);
  }

  private <V> BucketMap<V> merge(
      String section,
      Map<String, V> existing,
      Function<V, String> name,
      List<V> added,
      List<V> changed,
      List<String> withdrawn) {
    Set<String> seenNames = new HashSet<>();
    Map<String, V> set = new LinkedHashMap<>();
    for (int i = 0; i < added.size(); i++) {
      String key = name.apply(added.get(i));
      checkName("$.added." + section + "[" + i + "]", key, seenNames, !existing.containsKey(key));
      set.put(key, added.get(i));
    }
    for (int i = 0; i < changed.size(); i++) {
      String key = name.apply(changed.get(i));
      checkName("$.changed." + section + "[" + i + "]", key, seenNames, existing.containsKey(key));
      set.put(key, changed.get(i));
    }
    for (int i = 0; i < withdrawn.size(); i++) {
      String key = withdrawn.get(i);
      checkName(
          "$.withdrawn." + section + "[" + i + "]", key, seenNames, existing.containsKey(key));
    }
    return BucketMap.copyOf(existing).with(withdrawn, set);
  }

  private void checkName(
      String path, String name, Set<String> seenNames, boolean existsAsExpected) {
    if (!existsAsExpected) {
      problems.add(path, name, path.startsWith("$.added") ? "exists already" : "does not exist");
    }
    if (!seenNames.add(name)) {
      problems.add(path, name, "is named twice");
    }
  }

  private void checkServiceReferences(
      String path, List<UpstreamDefinition> upstreams, Map<String, ServiceDefinition> services) {
    for (int i = 0; i < upstreams.size(); i++) {
      String service = upstreams.get(i).service();
      if (!services.containsKey(service)) {
        problems.add(path + "[" + i + "].service", service, "is not a service");
      }
    }
  }

  /** Checks that no upstream refers to a withdrawn service; scans all upstreams only if needed. */
  private void checkWithdrawnServices(Map<String, UpstreamDefinition> upstreams) {
    List<String> services = note.withdrawn().services();
    if (services.isEmpty()) {
      return;
    }
    Map<String, Integer> counts = new HashMap<>();
    upstreams.values().forEach(upstream -> counts.merge(upstream.service(), 1, Integer::sum));
    for (int i = 0; i < services.size(); i++) {
      int count = counts.getOrDefault(services.get(i), 0);
      if (count > 0) {
        problems.add(
            "$.withdrawn.services[" + i + "]",
            services.get(i),
            "still has " + count + " upstreams");
      }
    }
  }
}
