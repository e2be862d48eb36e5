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
import org.lovagerack.platform.standin.PlatformEntries;
import org.lovagerack.platform.standin.StoreStandIn;

/** Publishes configurations and watches which version each entry VM follows. */
final class Configurations {

  private static final Duration PROBE_PERIOD = Duration.ofMillis(250);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  private final TimerService timer;
  private final HttpCaller caller;
  private final StoreStandIn store;
  private final List<SoakVm> vms;
  private final Promises promises;
  private final Set<Integer> probed = new HashSet<>();
  private final Map<Long, Long> publishedNanos = new HashMap<>();
  private long newest;

  Configurations(
      TimerService timer,
      HttpCaller caller,
      StoreStandIn store,
      List<SoakVm> vms,
      Promises promises) {
    this.timer = timer;
    this.caller = caller;
    this.store = store;
    this.vms = vms;
    this.promises = promises;
  }

  /** Publishes the next version, which is told by a queue of its own. */
  void publishNext() {
    newest++;
    publishedNanos.put(newest, timer.nanoTime());
    store.put(
        "op",
        "",
        "config",
        PlatformEntries.configuration(
            newest, Promises.ATTEMPTS, List.of("/queue/", prefix(newest))));
  }

  /** Begins to watch the entry VMs. */
  void watch() {
    timer.every(
        PROBE_PERIOD,
        () -> {
          for (int vm = 0; vm < vms.size(); vm++) {
            if (probed.add(vm)) {
              probe(vm, newest, vms.get(vm).incarnation());
            }
          }
        });
  }

  /** Looks for the version that a VM follows, from the newest one down. */
  private void probe(int vm, long version, int incarnation) {
    long sentNanos = timer.nanoTime();
    caller.call(
        HttpMethod.GET,
        vms.get(vm).directAddress(),
        prefix(version),
        Map.of("Host", "host.example"),
        Buffer.buffer(),
        PROBE_TIMEOUT,
        reply -> {
          int status = reply instanceof HttpReply.Response response ? response.status() : 0;
          if (vms.get(vm).incarnation() == incarnation) {
            if (status == 200) {
              promises.checkConfiguration(vm, version);
            } else if (status == 404) {
              // An older version may be missing because the VM has gone on to a newer one.
              if (version == newest) {
                promises.checkMissingConfiguration(
                    vm, version, publishedNanos.get(version), sentNanos);
              }
              if (version > 1) {
                probe(vm, version - 1, incarnation);
                return;
              }
            }
          }
          probed.remove(vm);
        });
  }

  private static String prefix(long version) {
    return "/generation-" + version + "/";
  }
}
