package org.lovagerack.notes;

/**
 * An upstream as release notes define it.
 *
 * @param address IP number and port; the identity of the upstream
 * @param service name of the service that it serves
 * @param failureDomain failure domain of its VM
 * @param slots tasks that it runs at a time
 * @param connections connections that all entry VMs together may hold to it
 */
public record UpstreamDefinition(
    String address, String service, String failureDomain, int slots, int connections) {}
