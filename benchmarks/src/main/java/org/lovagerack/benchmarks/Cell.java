package org.lovagerack.benchmarks;

import java.util.List;

/**
 * One run of the comparison.
 *
 * @param workload what arrives
 * @param scenario load and faults
 * @param policy the policy
 * @param messageWeight weight of the service
 * @param result what it showed
 * @param traces descriptions of jobs around the 99th percentile
 */
record Cell(
    Workload workload,
    Scenario scenario,
    PolicyFactory policy,
    double messageWeight,
    RunResult result,
    List<String> traces) {}
