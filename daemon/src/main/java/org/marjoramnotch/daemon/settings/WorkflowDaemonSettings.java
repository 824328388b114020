package org.marjoramnotch.daemon.settings;

import org.marjoramnotch.logic.workflow.WorkflowSettings;

/**
 * What the product must know of the workers that take orders.
 *
 * @param longestLeaseMilliseconds longest lease that a worker grants
 * @param reportIntervalMilliseconds interval of the workers' reports
 * @param retentionMilliseconds how long callers may ask for ended workflows
 */
public record WorkflowDaemonSettings(
        long longestLeaseMilliseconds,
        long reportIntervalMilliseconds,
        long retentionMilliseconds) {
    /** Lets a worker miss two reports, with time for their way. */
    private static final double REPORTS_PER_TIMEOUT = 2.4;

    /** Returns the settings of the decisions. */
    public WorkflowSettings workflowSettings() {
        WorkflowSettings usual = WorkflowSettings.defaults();
        return WorkflowSettings.builder()
                .leaseMilliseconds(Math.min(usual.leaseMilliseconds(), longestLeaseMilliseconds))
                .reportTimeoutMilliseconds(
                        (long) (reportIntervalMilliseconds * REPORTS_PER_TIMEOUT))
                .retentionMilliseconds(retentionMilliseconds)
                .build();
    }
}
