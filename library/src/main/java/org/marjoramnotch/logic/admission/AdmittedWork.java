package org.marjoramnotch.logic.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Submissions that were admitted but are not stored yet, so that no snapshot of the load has them.
 */
final class AdmittedWork {
    private final Map<JobId, Submission> submissions = new HashMap<>();

    void add(Submission submission) {
        submissions.put(submission.workflow(), submission);
    }

    void remove(JobId workflow) {
        submissions.remove(workflow);
    }

    /** Returns the processor demand that comes before new work of a priority in a pool. */
    long processorMillisBefore(ServiceName pool, int priority) {
        return processorMillis(other -> other.pool().equals(pool) && other.priority() <= priority);
    }

    /** Returns the processor demand of a team. */
    long processorMillisOf(Optional<TeamName> team) {
        return processorMillis(other -> other.team().equals(team));
    }

    /** Returns the number of submissions that need advice before one of a priority does. */
    long advisedBefore(int priority) {
        return all().stream()
                .filter(other -> other.advised() && other.priority() <= priority)
                .count();
    }

    private long processorMillis(Predicate<Submission> counted) {
        return all().stream().filter(counted).mapToLong(Submission::processorMillis).sum();
    }

    private Collection<Submission> all() {
        return submissions.values();
    }
}
