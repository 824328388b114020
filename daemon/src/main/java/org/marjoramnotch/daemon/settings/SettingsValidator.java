package org.marjoramnotch.daemon.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.identifier.VmId;

/** Checks that settings are consistent with one another, which a JSON schema cannot express. */
final class SettingsValidator {
    /** A head of 16,384 bytes with lines of four bytes takes two thirds of this. */
    private static final long MINIMUM_CLIENT_MEMORY_BYTES = 1024 * 1024;

    private SettingsValidator() {}

    /** Returns all problems, each with its remedy. */
    static List<String> findProblems(DaemonSettings settings) {
        List<String> problems = new ArrayList<>();
        checkReplicas(settings, problems);
        checkIntervals(settings.limits(), problems);
        checkClientMemory(settings.limits(), problems);
        return problems;
    }

    private static void checkReplicas(DaemonSettings settings, List<String> problems) {
        Set<VmId> seen = new HashSet<>();
        for (ReplicaAddress replica : settings.replicas()) {
            if (!seen.add(replica.vm())) {
                problems.add(
                        "replicas: VM " + replica.vm() + " is listed twice; keep one address.");
            }
        }
        if (seen.isEmpty()) {
            problems.add(
                    "replicas: no replica is named; list them here or name seeds in formation.");
        }
        if (settings.has(DaemonRole.REPLICA)
                && settings.formation().isEmpty()
                && !seen.contains(settings.vm())) {
            problems.add(
                    "replicas: this VM "
                            + settings.vm()
                            + " has the role replica but is not listed; add its link address.");
        }
    }

    private static void checkIntervals(DaemonLimits limits, List<String> problems) {
        if (limits.electionTimeoutMaximumMilliseconds()
                <= limits.electionTimeoutMinimumMilliseconds()) {
            problems.add(
                    "limits.electionTimeoutMaximumMilliseconds: must be above"
                            + " electionTimeoutMinimumMilliseconds, so that the replicas start"
                            + " elections at different times.");
        }
        if (limits.heartbeatIntervalMilliseconds() * 2L
                > limits.electionTimeoutMinimumMilliseconds()) {
            problems.add(
                    "limits.heartbeatIntervalMilliseconds: must be at most half of"
                            + " electionTimeoutMinimumMilliseconds, so that one lost heartbeat"
                            + " does not start an election.");
        }
        if (limits.linkDeadlineMilliseconds() <= limits.heartbeatIntervalMilliseconds()) {
            problems.add(
                    "limits.linkDeadlineMilliseconds: must be above"
                            + " heartbeatIntervalMilliseconds, so that a working link is kept.");
        }
    }

    private static void checkClientMemory(DaemonLimits limits, List<String> problems) {
        long process = limits.clientMemoryBytes();
        if (process > 0 && limits.connectionMemoryBytes() > process) {
            problems.add(
                    "limits.connectionMemoryBytes: must be at most clientMemoryBytes, which covers"
                            + " all connections.");
        }
        for (long memory : new long[] {process, limits.connectionMemoryBytes()}) {
            if (memory > 0 && memory < MINIMUM_CLIENT_MEMORY_BYTES) {
                problems.add(
                        "limits.clientMemoryBytes, limits.connectionMemoryBytes: must be 0 or at"
                                + " least "
                                + MINIMUM_CLIENT_MEMORY_BYTES
                                + ", so that a head of the longest size is served.");
            }
        }
    }
}
