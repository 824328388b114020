package org.marjoramnotch.daemon.settings;

import java.util.List;
import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Properties of the workers that accept orders.
 *
 * @param longestLeaseMilliseconds longest lease that a worker accepts
 * @param reportIntervalMilliseconds interval of the workers' reports
 * @param retentionMilliseconds how long ended workflows can be read by callers
 * @param setsAsideLargeWork whether large work is served last if not all work can be in time
 * @param drainMilliseconds how long a worker continues after its report that it drains is
 *     confirmed; 0 if this is not known
 * @param mostHeldBytes how many bytes all workflows may take in this process; 0 to derive it from
 *     the heap
 */
public record WorkflowDaemonSettings(
        long longestLeaseMilliseconds,
        long reportIntervalMilliseconds,
        long retentionMilliseconds,
        boolean setsAsideLargeWork,
        long drainMilliseconds,
        long mostHeldBytes) {
    /** Report timeout in report intervals: two missed reports plus time for their transmission. */
    private static final double REPORTS_PER_TIMEOUT = 2.4;

    /**
     * Returns the settings of the workflow scheduler.
     *
     * @param availabilityZones the availability zones of the workers; may be empty
     * @param heldBytes how many bytes all workflows may take in this process
     */
    public WorkflowSettings workflowSettings(
            List<AvailabilityZone> availabilityZones, long heldBytes) {
        WorkflowSettings defaults = WorkflowSettings.defaults();
        return WorkflowSettings.builder()
                .leaseMilliseconds(Math.min(defaults.leaseMilliseconds(), longestLeaseMilliseconds))
                .longestLeaseMilliseconds(longestLeaseMilliseconds)
                .reportTimeoutMilliseconds(
                        (long) (reportIntervalMilliseconds * REPORTS_PER_TIMEOUT))
                .retentionMilliseconds(retentionMilliseconds)
                .availabilityZones(availabilityZones)
                .setsAside(setsAsideLargeWork)
                .drainMilliseconds(drainMilliseconds)
                .mostHeldBytes(heldBytes)
                .build();
    }
}
