package org.lovagerack.notes;

import java.util.Map;
import org.lovagerack.foundation.error.LovagerackException;

/**
 * The configuration at one revision: the result of applying all release notes up to it in order.
 *
 * @param revision number of notes applied; 0 is the empty deployment
 * @param services service definitions by name
 * @param upstreams upstream definitions by address
 * @param teams team quotas by name
 */
public record Deployment(
    long revision,
    Map<String, ServiceDefinition> services,
    Map<String, UpstreamDefinition> upstreams,
    Map<String, TeamQuota> teams) {

  private static final Deployment EMPTY = new Deployment(0, Map.of(), Map.of(), Map.of());

  public Deployment {
    services = BucketMap.copyOf(services);
    upstreams = BucketMap.copyOf(upstreams);
    teams = BucketMap.copyOf(teams);
  }

  /** Returns the deployment before the first release note. */
  public static Deployment empty() {
    return EMPTY;
  }

  /**
   * Returns the deployment of the next revision. Unchanged definitions are shared, not copied.
   *
   * @throws LovagerackException with {@code NOTE_INVALID} and a message that lists every conflict
   *     within the note or between the note and this deployment
   */
  public Deployment apply(ReleaseNote note) throws LovagerackException {
    return new NoteApplication(this, note).apply();
  }
}
