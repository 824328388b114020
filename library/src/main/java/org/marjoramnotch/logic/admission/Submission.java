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
 */
public record Submission(
        JobId workflow,
        ServiceName pool,
        int priority,
        Optional<TeamName> team,
        boolean advised,
        long processorMillis,
        long objectiveMilliseconds,
        long criticalPathMilliseconds) {
    /** Returns how long it may wait and still meet its latency objective. */
    long slackMilliseconds() {
        return Math.max(0, objectiveMilliseconds - criticalPathMilliseconds);
    }
}
