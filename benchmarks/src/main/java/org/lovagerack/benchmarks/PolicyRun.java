package org.lovagerack.benchmarks;

import java.util.List;

/**
 * One run of a policy on a workload and scenario.
 *
 * @param workload entry VMs, upstreams and jobs
 * @param scenario load and faults
 * @param policy the policy
 * @param messageWeight message weight of the service
 * @param result measured values
 * @param traces descriptions of jobs around the 99th percentile
 */
record PolicyRun(
    Workload workload,
    Scenario scenario,
    PolicyFactory policy,
    double messageWeight,
    RunResult result,
    List<String> traces) {}
