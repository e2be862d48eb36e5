package org.lovagerack.notes;

/**
 * An upstream as release notes define it.
 *
 * @param address IP address and port; identifies the upstream
 * @param service name of the service that it serves
 * @param failureDomain failure domain of its VM
 * @param slots number of tasks that it runs concurrently
 * @param connections maximum number of connections to it from all entry VMs together
 */
public record UpstreamDefinition(
    String address, String service, String failureDomain, int slots, int connections) {}
