package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.Map;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Rejects jobs that can never run on the registered workers within the team's upper limit. */
final class FeasibilityCheck {
    private FeasibilityCheck() {}

    /**
     * Checks a job against the capacities of the workers. While no worker is registered, every job
     * is accepted and waits.
     *
     * @throws MarjoramnotchException with {@code JOB_NEVER_FITS}, naming the closest capacity
     */
    static void check(
            AuthorizedWork work,
            JobSpecification specification,
            Map<Resources, Integer> capacities) {
        if (capacities.isEmpty()) {
            return;
        }
        boolean fits =
                capacities.keySet().stream()
                        .anyMatch(capacity -> capacity.holds(specification.perTask()));
        if (!fits) {
            throw neverFits(
                    "No worker has enough capacity for a task of "
                            + format(specification.perTask())
                            + "; the closest worker has "
                            + format(nearestCapacity(specification.perTask(), capacities))
                            + "; request at most that.");
        }
        if (work.queue().policy() == QueuePolicy.GANG) {
            checkGang(specification, capacities, work.team().upperLimit());
        }
    }

    private static void checkGang(
            JobSpecification specification, Map<Resources, Integer> capacities, int upperLimit) {
        long simultaneous = 0;
        for (Map.Entry<Resources, Integer> capacity : capacities.entrySet()) {
            simultaneous +=
                    capacity.getValue()
                            * ResourceDimension.tasksThatFit(
                                    specification.perTask(), capacity.getKey());
        }
        long maximum = Math.min(simultaneous, upperLimit);
        if (specification.tasks() > maximum) {
            throw neverFits(
                    "At most "
                            + maximum
                            + " such tasks can run at the same time on the workers within the"
                            + " team's upper limit; request at most that many.");
        }
    }

    private static Resources nearestCapacity(Resources task, Map<Resources, Integer> capacities) {
        return capacities.keySet().stream()
                .min(
                        Comparator.<Resources>comparingDouble(
                                        capacity -> ResourceDimension.dominantShare(task, capacity))
                                .thenComparing(FeasibilityCheck::format))
                .orElseThrow();
    }

    private static String format(Resources amounts) {
        return amounts.processorMillis()
                + " thousandths of a processor, "
                + amounts.memoryMegabytes()
                + " MB and "
                + amounts.accelerators()
                + " accelerators";
    }

    private static MarjoramnotchException neverFits(String message) {
        return new MarjoramnotchException(ErrorCode.JOB_NEVER_FITS, message);
    }
}
