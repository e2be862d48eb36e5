package org.lovagerack.soak;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.eventloop.HttpCaller;
import org.lovagerack.eventloop.HttpReply;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.platform.standin.PlatformFixtures;
import org.lovagerack.platform.standin.StoreStandIn;

/** Publishes configurations and probes which version each entry VM has applied. */
final class ConfigurationPublisher {

  private static final Duration PROBE_PERIOD = Duration.ofMillis(250);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  private final TimerService timer;
  private final HttpCaller caller;
  private final StoreStandIn store;
  private final List<SoakVm> vms;
  private final GuaranteeChecker checker;
  private final Set<Integer> vmsBeingProbed = new HashSet<>();
  private final Map<Long, Long> publishedNanos = new HashMap<>();
  private long newestVersion;

  ConfigurationPublisher(
      TimerService timer,
      HttpCaller caller,
      StoreStandIn store,
      List<SoakVm> vms,
      GuaranteeChecker checker) {
    this.timer = timer;
    this.caller = caller;
    this.store = store;
    this.vms = vms;
    this.checker = checker;
  }

  /** Publishes the next version, which probes identify by a queue that only this version has. */
  void publishNext() {
    newestVersion++;
    publishedNanos.put(newestVersion, timer.nanoTime());
    store.put(
        "op",
        "",
        "config",
        PlatformFixtures.configuration(
            newestVersion,
            GuaranteeChecker.MAX_ATTEMPTS,
            List.of("/queue/", queuePath(newestVersion))));
  }

  /** Starts to probe the entry VMs periodically. */
  void startProbing() {
    timer.every(
        PROBE_PERIOD,
        () -> {
          for (int vm = 0; vm < vms.size(); vm++) {
            if (vmsBeingProbed.add(vm)) {
              probe(vm, newestVersion, vms.get(vm).incarnation());
            }
          }
        });
  }

  /** Finds the version that a VM has applied by probing from the newest version downwards. */
  private void probe(int vm, long version, int incarnation) {
    long sentNanos = timer.nanoTime();
    caller.call(
        HttpMethod.GET,
        vms.get(vm).directAddress(),
        queuePath(version),
        Map.of("Host", "host.example"),
        Buffer.buffer(),
        PROBE_TIMEOUT,
        reply -> {
          int status = reply instanceof HttpReply.Response response ? response.status() : 0;
          if (vms.get(vm).incarnation() == incarnation) {
            if (status == 200) {
              checker.checkConfiguration(vm, version);
            } else if (status == 404) {
              // An older version may be missing because the VM has already applied a newer one.
              if (version == newestVersion) {
                checker.checkMissingConfiguration(
                    vm, version, publishedNanos.get(version), sentNanos);
              }
              if (version > 1) {
                probe(vm, version - 1, incarnation);
                return;
              }
            }
          }
          vmsBeingProbed.remove(vm);
        });
  }

  private static String queuePath(long version) {
    return "/generation-" + version + "/";
  }
}
