package org.lovagerack.daemon.http;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lovagerack.daemon.job.JobApi;

/** HTTP routes for callers. */
public final class CallerRoutes implements RouteGroup {

  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final Pattern WAIT_SECONDS = Pattern.compile("\\bwait=(\\d{1,6})\\b");
  private static final Pattern WAIT = Pattern.compile("\\bwait\\b");

  private final JobApi jobApi;
  private final Duration maxWait;

  /**
   * Creates the routes.
   *
   * @param jobApi handles the requests
   * @param maxWait maximum time that a request waits for a job
   */
  public CallerRoutes(JobApi jobApi, Duration maxWait) {
    this.jobApi = jobApi;
    this.maxWait = maxWait;
  }

  @Override
  public void addTo(Router router) {
    router
        .post("/v1/submission-ids")
        .handler(context -> HttpInterface.send(context, jobApi.issue(HttpInterface.body(context))));
    router.post("/v1/jobs").handler(context -> submit(context, wait(context)));
    router.post("/v1/requests").handler(context -> submit(context, Optional.of(maxWait)));
    router
        .get("/v1/jobs/:id")
        .handler(
            context ->
                jobApi.status(
                    context.pathParam("id"),
                    wait(context).orElse(Duration.ZERO),
                    answer -> HttpInterface.send(context, answer)));
    router
        .delete("/v1/jobs/:id")
        .handler(
            context ->
                jobApi.cancel(
                    context.pathParam("id"), answer -> HttpInterface.send(context, answer)));
  }

  private void submit(RoutingContext context, Optional<Duration> wait) {
    jobApi.submit(
        Optional.ofNullable(context.request().getHeader(IDEMPOTENCY_KEY)),
        HttpInterface.body(context),
        wait,
        answer -> HttpInterface.send(context, answer));
  }

  /** Reads {@code Prefer: wait} or {@code Prefer: wait=seconds} (RFC 7240). */
  private Optional<Duration> wait(RoutingContext context) {
    String prefer = context.request().getHeader("Prefer");
    if (prefer == null) {
      return Optional.empty();
    }
    Matcher seconds = WAIT_SECONDS.matcher(prefer);
    if (seconds.find()) {
      Duration wanted = Duration.ofSeconds(Long.parseLong(seconds.group(1)));
      return Optional.of(wanted.compareTo(maxWait) < 0 ? wanted : maxWait);
    }
    return WAIT.matcher(prefer).find() ? Optional.of(maxWait) : Optional.empty();
  }
}
