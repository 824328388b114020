package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.model.fleet.TeamLimit;
import org.marjoramnotch.model.fleet.WorkerKind;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/** What keeps a workflow from ever being done, with the facts that show it. */
sealed interface Obstacle {
    /** Returns the facts for operators. */
    String describe();

    /**
     * Returns whether other limits or kinds of workers are known than with an earlier obstacle of
     * the same workflow. A move of the queue to another pool alone is no new fact.
     */
    boolean hasNewFactsSince(Obstacle earlier);

    /**
     * No worker that the pool has had can run a task of the step.
     *
     * @param number the position of the step
     * @param step the step
     * @param pool the pool that the queue is sent to
     * @param kinds the kinds of workers that the pool has had
     */
    record WorkersTooSmall(
            int number, StepDefinition step, ServiceName pool, List<WorkerKind> kinds)
            implements Obstacle {
        @Override
        public boolean hasNewFactsSince(Obstacle earlier) {
            return !(earlier instanceof WorkersTooSmall other)
                    || (pool.equals(other.pool) && !kinds.equals(other.kinds));
        }

        @Override
        public String describe() {
            return "no worker of the pool is large enough or has the label: step "
                    + number
                    + " needs "
                    + format(step.reserved())
                    + step.requiredLabel().map(label -> " and label " + label).orElse("")
                    + ", pool "
                    + pool
                    + " has had "
                    + kinds.stream().map(kind -> format(kind.capacity())).distinct().toList();
        }
    }

    /**
     * No limit that the team has had allows the step.
     *
     * @param number the position of the step
     * @param needed what a task, or the whole gang, needs
     * @param team the team
     * @param limits the limits that the team has had
     */
    record LimitTooLow(int number, Resources needed, TeamName team, List<TeamLimit> limits)
            implements Obstacle {
        @Override
        public boolean hasNewFactsSince(Obstacle earlier) {
            return !(earlier instanceof LimitTooLow other) || !limits.equals(other.limits);
        }

        @Override
        public String describe() {
            return "the upper limit of the team is smaller: step "
                    + number
                    + " needs "
                    + format(needed)
                    + ", team "
                    + team
                    + " has had "
                    + limits.stream().map(limit -> format(limit.upperLimit())).toList();
        }
    }

    private static String format(Resources resources) {
        return resources.processorMillis()
                + "m/"
                + resources.memoryMegabytes()
                + "MB/"
                + resources.accelerators();
    }
}
