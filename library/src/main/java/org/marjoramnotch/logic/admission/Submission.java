package org.marjoramnotch.logic.admission;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * A submitted workflow that is to be admitted or refused.
 *
 * @param workflow the workflow
 * @param pool the pool whose workers would run it
 * @param priority the priority of its queue; 0 is the highest
 * @param team the team that it runs for, if any
 * @param advised whether its steps need tickets of the placement advisor
 * @param processorMillis processor demand of its first steps
 * @param objectiveMilliseconds its latency objective
 * @param criticalPathMilliseconds time that it takes without any wait
 * @param processorTime core time of all its steps, in thousandths of a processor times
 *     milliseconds; 0 if not known
 * @param atOnceProcessorMillis the most that one of its tasks, or a whole gang, needs at once
 */
public record Submission(
        JobId workflow,
        ServiceName pool,
        int priority,
        Optional<TeamName> team,
        boolean advised,
        long processorMillis,
        long objectiveMilliseconds,
        long criticalPathMilliseconds,
        double processorTime,
        long atOnceProcessorMillis) {
    /** Multiple of the latency objective after which a result is worthless. */
    private static final int WORTHLESS_AFTER_OBJECTIVES = 3;

    /** Creates a submission whose core time is not known. */
    public Submission(
            JobId workflow,
            ServiceName pool,
            int priority,
            Optional<TeamName> team,
            boolean advised,
            long processorMillis,
            long objectiveMilliseconds,
            long criticalPathMilliseconds) {
        this(
                workflow,
                pool,
                priority,
                team,
                advised,
                processorMillis,
                objectiveMilliseconds,
                criticalPathMilliseconds,
                0,
                0);
    }

    /** Returns the core time; if it is not known, that of tasks of the mean run time. */
    double processorTime(double meanRunMilliseconds) {
        return processorTime > 0 ? processorTime : processorMillis * meanRunMilliseconds;
    }

    /** Returns how long it may wait and still meet its latency objective. */
    long slackMilliseconds() {
        return Math.max(0, objectiveMilliseconds - criticalPathMilliseconds);
    }

    /** Returns the longest wait after which its result still has a value. */
    long longestWaitMilliseconds() {
        return WORTHLESS_AFTER_OBJECTIVES * objectiveMilliseconds - criticalPathMilliseconds;
    }
}
