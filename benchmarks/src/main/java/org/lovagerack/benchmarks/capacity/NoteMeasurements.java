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

/** Measures the size and the CPU time of release notes, snapshots and VM lists. */
final class NoteMeasurements {

  private static final String DOMAIN = "domain-0";

  private final CapacitySizes sizes;
  private final Measurement applyTime =
      new Measurement("processor time to apply a note to the deployment", "µs", "entries");
  private final Measurement filterTime =
      new Measurement("processor time to filter by failure domain", "µs", "entries in 33 domains");
  private final Measurement deployTime =
      new Measurement(
          "processor time of the dispatcher to deploy what is left", "µs", "entries in 33 domains");
  private final Measurement noteBytes =
      new Measurement("note that changes one upstream, JSON", "B", "entries");
  private final Measurement snapshotBytes =
      new Measurement("snapshot of the deployment", "B", "entries");
  private final Measurement snapshotTime =
      new Measurement("processor time to read a snapshot", "µs", "entries");
  private final Measurement vmListBytes = new Measurement("VM list, JSON", "B", "VMs");
  private final Measurement vmListTime =
      new Measurement("processor time to parse a VM list", "µs", "VMs");

  NoteMeasurements(CapacitySizes sizes) {
    this.sizes = sizes;
  }

  List<Measurement> run() throws LovagerackException, JsonProcessingException {
    // Warm up the JIT compiler.
    measure(sizes.maxDefinitions(), false);
    for (int size : sizes.definitions()) {
      measure(size, true);
    }
    return List.of(
        applyTime,
        filterTime,
        deployTime,
        noteBytes,
        snapshotBytes,
        snapshotTime,
        vmListBytes,
        vmListTime);
  }

  private void measure(int size, boolean recordValues)
      throws LovagerackException, JsonProcessingException {
    Deployment initial = Samples.deployment(0, size, 180);
    int notes = sizes.repetitions();
    List<Deployment> deployments = new ArrayList<>(List.of(initial));
    long applyNanos = ProcessorTime.of(() -> applyNotes(deployments, notes, size));
    EntryModel model = new EntryModel(filterByDomain(initial), Duration.ZERO, Duration.ofDays(1));
    int filterCount = Math.max(1, notes / 10);
    List<Deployment> filteredDeployments = new ArrayList<>();
    long filterNanos =
        ProcessorTime.of(
            () ->
                deployments.stream()
                    .skip(1)
                    .limit(filterCount)
                    .forEach(deployment -> filteredDeployments.add(filterByDomain(deployment))));
    long deployNanos =
        ProcessorTime.of(() -> filteredDeployments.forEach(model.dispatcher::deploy));
    String snapshot = DeploymentCodec.encode(initial);
    long snapshotNanos = ProcessorTime.of(() -> decodeSnapshot(snapshot));
    String vmList = PlatformProtocol.MAPPER.writeValueAsString(createVmList(size));
    long vmListNanos = ProcessorTime.of(() -> parseVmList(vmList));
    if (recordValues) {
      applyTime.add(size, applyNanos / 1e3 / notes);
      filterTime.add(size, filterNanos / 1e3 / filterCount);
      deployTime.add(size, deployNanos / 1e3 / filterCount);
      noteBytes.add(size, NoteCodec.encode(Samples.upstreamChange(0, size - 1)).length());
      snapshotBytes.add(size, snapshot.length());
      snapshotTime.add(size, snapshotNanos / 1e3);
      vmListBytes.add(size, vmList.length());
      vmListTime.add(size, vmListNanos / 1e3);
    }
  }

  /** Applies notes, including the decoding of each note from its stored form. */
  private static void applyNotes(List<Deployment> deployments, int notes, int upstreamCount) {
    try {
      for (int i = 0; i < notes; i++) {
        ReleaseNote note = Samples.upstreamChange(i, i * 7 % upstreamCount);
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

  private static void decodeSnapshot(String snapshot) {
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

  private static void parseVmList(String vmList) {
    try {
      PlatformProtocol.MAPPER.readValue(vmList, VmSnapshot.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
