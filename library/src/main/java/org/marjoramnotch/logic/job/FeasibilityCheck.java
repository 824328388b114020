package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.Map;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Refuses jobs that can never run on the registered workers within the team's limit. */
final class FeasibilityCheck {
    private FeasibilityCheck() {}

    /**
     * Checks a job against the sizes of workers; any job may wait while no worker is known.
     *
     * @throws MarjoramnotchException with {@code JOB_NEVER_FITS}, naming the nearest fit
     */
    static void check(
            AuthorizedWork work, JobSpecification asked, Map<Resources, Integer> capacities) {
        if (capacities.isEmpty()) {
            return;
        }
        boolean fits = capacities.keySet().stream().anyMatch(size -> size.holds(asked.perTask()));
        if (!fits) {
            throw neverFits(
                    "No worker holds a task of "
                            + format(asked.perTask())
                            + "; the nearest has "
                            + format(nearestCapacity(asked.perTask(), capacities))
                            + "; ask for at most that.");
        }
        if (work.queue().policy() == QueuePolicy.GANG) {
            checkGang(asked, capacities, work.team().upperLimit());
        }
    }

    private static void checkGang(
            JobSpecification asked, Map<Resources, Integer> capacities, int upperLimit) {
        long together = 0;
        for (Map.Entry<Resources, Integer> size : capacities.entrySet()) {
            together +=
                    size.getValue()
                            * ResourceDimension.tasksThatFit(asked.perTask(), size.getKey());
        }
        long most = Math.min(together, upperLimit);
        if (asked.tasks() > most) {
            throw neverFits(
                    "At most "
                            + most
                            + " such tasks can run together on the workers and within the team's"
                            + " upper limit; ask for at most that many.");
        }
    }

    private static Resources nearestCapacity(Resources task, Map<Resources, Integer> capacities) {
        return capacities.keySet().stream()
                .min(
                        Comparator.<Resources>comparingDouble(
                                        size -> ResourceDimension.dominantShare(task, size))
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
