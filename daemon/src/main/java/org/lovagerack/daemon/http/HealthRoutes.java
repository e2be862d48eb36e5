package org.lovagerack.daemon.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lovagerack.daemon.answer.Answer;

/** HTTP routes for liveness, readiness and metrics. */
public final class HealthRoutes implements RouteGroup {

  /** Whether this entry VM accepts requests of callers. */
  public enum Readiness {
    READY,
    STARTING,
    DRAINING
  }

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final MetricRegistry registry;
  private final Supplier<Readiness> readiness;
  private final ObjectMapper mapper =
      new ObjectMapper()
          .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

  public HealthRoutes(MetricRegistry registry, Supplier<Readiness> readiness) {
    this.registry = registry;
    this.readiness = readiness;
  }

  @Override
  public void addTo(Router router) {
    router
        .get("/healthz")
        .handler(context -> HttpInterface.send(context, Answer.json(OK, "{\"state\":\"live\"}")));
    router.get("/readyz").handler(this::readiness);
    router.get("/metrics").handler(this::metrics);
  }

  private void readiness(RoutingContext context) {
    Readiness current = readiness.get();
    HttpInterface.send(
        context,
        Answer.json(
            current == Readiness.READY ? OK : UNAVAILABLE,
            "{\"state\":\"" + current.name().toLowerCase(Locale.ROOT) + "\"}"));
  }

  private void metrics(RoutingContext context) {
    try {
      HttpInterface.send(context, Answer.json(OK, mapper.writeValueAsString(registry)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("metrics cannot be written as JSON", e);
    }
  }
}
