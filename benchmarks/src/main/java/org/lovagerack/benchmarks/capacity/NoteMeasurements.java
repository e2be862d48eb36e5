package org.lovagerack.benchmarks.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.DeploymentCodec;
import org.lovagerack.notes.NoteCodec;
import org.lovagerack.notes.ReleaseNote;
import org.lovagerack.notes.UpstreamDefinition;
import org.lovagerack.platform.PlatformProtocol;
import org.lovagerack.platform.VmEntry;
import org.lovagerack.platform.VmSnapshot;

/** Measures processor time and size of release notes, snapshots and VM lists. */
final class NoteMeasurements {

  private static final String DOMAIN = "domain-0";

  private final CapacitySizes sizes;
  private final Measurement apply =
      new Measurement("processor time to apply a note to the deployment", "µs", "entries");
  private final Measurement filter =
      new Measurement("processor time to filter by failure domain", "µs", "entries in 33 domains");
  private final Measurement deploy =
      new Measurement(
          "processor time of the dispatcher to deploy what is left", "µs", "entries in 33 domains");
  private final Measurement noteBytes =
      new Measurement("note that changes one upstream, JSON", "B", "entries");
  private final Measurement snapshotBytes =
      new Measurement("snapshot of the deployment", "B", "entries");
  private final Measurement snapshotTime =
      new Measurement("processor time to read a snapshot", "µs", "entries");
  private final Measurement listBytes = new Measurement("VM list, JSON", "B", "VMs");
  private final Measurement listTime =
      new Measurement("processor time to parse a VM list", "µs", "VMs");

  NoteMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() throws LovagerackException, JsonProcessingException {
    // Warm up the JIT compiler.
    measure(sizes.maxDefinitions(), false);
    for (int entries : sizes.definitions()) {
      measure(entries, true);
    }
    return List.of(
        apply, filter, deploy, noteBytes, snapshotBytes, snapshotTime, listBytes, listTime);
  }

  private void measure(int entries, boolean recordValues)
      throws LovagerackException, JsonProcessingException {
    Deployment initial = Samples.deployment(0, entries, 180);
    int notes = sizes.repetitions();
    List<Deployment> deployments = new ArrayList<>(List.of(initial));
    long applyNanos = ProcessorTime.of(() -> applyNotes(deployments, notes, entries));
    EntryModel model = new EntryModel(filterByDomain(initial), Duration.ZERO, Duration.ofDays(1));
    int filteredCount = Math.max(1, notes / 10);
    List<Deployment> filteredDeployments = new ArrayList<>();
    long filterNanos =
        ProcessorTime.of(
            () ->
                deployments.stream()
                    .skip(1)
                    .limit(filteredCount)
                    .forEach(deployment -> filteredDeployments.add(filterByDomain(deployment))));
    long deployNanos =
        ProcessorTime.of(() -> filteredDeployments.forEach(model.dispatcher::deploy));
    String snapshot = DeploymentCodec.encode(initial);
    long snapshotNanos = ProcessorTime.of(() -> readSnapshot(snapshot));
    String list = PlatformProtocol.MAPPER.writeValueAsString(createVmList(entries));
    long listNanos = ProcessorTime.of(() -> readList(list));
    if (recordValues) {
      apply.add(entries, applyNanos / 1e3 / notes);
      filter.add(entries, filterNanos / 1e3 / filteredCount);
      deploy.add(entries, deployNanos / 1e3 / filteredCount);
      noteBytes.add(entries, NoteCodec.encode(Samples.upstreamChange(0, entries - 1)).length());
      snapshotBytes.add(entries, snapshot.length());
      snapshotTime.add(entries, snapshotNanos / 1e3);
      listBytes.add(entries, list.length());
      listTime.add(entries, listNanos / 1e3);
    }
  }

  /** Applies notes as read from the table, including decoding. */
  private static void applyNotes(List<Deployment> deployments, int notes, int entries) {
    try {
      for (int i = 0; i < notes; i++) {
        ReleaseNote note = Samples.upstreamChange(i, i * 7 % entries);
        deployments.add(deployments.getLast().apply(NoteCodec.decode(NoteCodec.encode(note))));
      }
    } catch (LovagerackException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Keeps the upstreams of one failure domain, as the daemon does before it deploys. */
  private static Deployment filterByDomain(Deployment deployment) {
    Map<String, UpstreamDefinition> upstreams = new LinkedHashMap<>();
    deployment
        .upstreams()
        .forEach(
            (address, upstream) -> {
              if (upstream.failureDomain().equals(DOMAIN)) {
                upstreams.put(address, upstream);
              }
            });
    return new Deployment(
        deployment.revision(), deployment.services(), upstreams, deployment.teams());
  }

  private static void readSnapshot(String snapshot) {
    try {
      DeploymentCodec.decode(snapshot);
    } catch (LovagerackException e) {
      throw new IllegalStateException(e);
    }
  }

  private static VmSnapshot createVmList(int vms) {
    List<VmEntry> entries = new ArrayList<>();
    for (int vm = 0; vm < vms; vm++) {
      entries.add(
          new VmEntry(
              Samples.address(vm),
              "domain-" + vm % Samples.FAILURE_DOMAINS,
              VmEntry.Role.UPSTREAM,
              VmEntry.State.LIVE));
    }
    return new VmSnapshot(1, entries);
  }

  private static void readList(String list) {
    try {
      PlatformProtocol.MAPPER.readValue(list, VmSnapshot.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
