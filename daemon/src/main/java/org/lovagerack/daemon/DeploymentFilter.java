package org.lovagerack.daemon;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.UpstreamDefinition;

/** Restricts a deployment to the upstreams of one failure domain. */
final class DeploymentFilter {

  private DeploymentFilter() {}

  static Deployment ofFailureDomain(Deployment deployment, String failureDomain) {
    Map<String, UpstreamDefinition> upstreams = new LinkedHashMap<>();
    deployment
        .upstreams()
        .forEach(
            (address, upstream) -> {
              if (upstream.failureDomain().equals(failureDomain)) {
                upstreams.put(address, upstream);
              }
            });
    return new Deployment(
        deployment.revision(), deployment.services(), upstreams, deployment.teams());
  }
}
