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
 * Submissions that were admitted but are not stored yet, so that no snapshot of the load has them,
 * and the rates at which work was admitted before.
 */
final class AdmittedWork {
    private record Entry(Submission submission, long atMilliseconds) {}

    private final Map<JobId, Entry> entries = new HashMap<>();
    private final Map<ServiceName, ArrivalRate> poolRates = new HashMap<>();
    private final Map<TeamName, ArrivalRate> teamRates = new HashMap<>();

    void add(long nowMilliseconds, Submission submission) {
        entries.put(submission.workflow(), new Entry(submission, nowMilliseconds));
    }

    /** Removes a submission that was refused for another reason. */
    void remove(JobId workflow) {
        entries.remove(workflow);
    }

    /** Removes a submission that is stored, and counts it in the rates. */
    void settle(JobId workflow) {
        Entry entry = entries.remove(workflow);
        if (entry == null) {
            return;
        }
        Submission submission = entry.submission();
        poolRates
                .computeIfAbsent(submission.pool(), name -> new ArrivalRate())
                .add(entry.atMilliseconds(), submission.processorTime());
        submission
                .team()
                .ifPresent(
                        team ->
                                teamRates
                                        .computeIfAbsent(team, name -> new ArrivalRate())
                                        .add(entry.atMilliseconds(), submission.processorTime()));
    }

    /** Returns the core time admitted to a pool lately, per millisecond. */
    double rateOf(long nowMilliseconds, ServiceName pool) {
        ArrivalRate rate = poolRates.get(pool);
        return rate == null ? 0 : rate.value(nowMilliseconds);
    }

    /** Returns the core time admitted for a team lately, per millisecond. */
    double rateOf(long nowMilliseconds, Optional<TeamName> team) {
        ArrivalRate rate = team.map(teamRates::get).orElse(null);
        return rate == null ? 0 : rate.value(nowMilliseconds);
    }

    /** Returns the processor demand that comes before new work of a priority in a pool. */
    long processorMillisBefore(ServiceName pool, int priority) {
        return processorMillis(other -> other.pool().equals(pool) && other.priority() <= priority);
    }

    /** Returns the core time that comes before new work of a priority in a pool. */
    double processorTimeBefore(ServiceName pool, int priority, double meanRunMilliseconds) {
        return processorTime(
                other -> other.pool().equals(pool) && other.priority() <= priority,
                meanRunMilliseconds);
    }

    /** Returns the processor demand of a team. */
    long processorMillisOf(Optional<TeamName> team) {
        return processorMillis(other -> other.team().equals(team));
    }

    /** Returns the processor demand of a team that comes before its new work of a priority. */
    long processorMillisOf(Optional<TeamName> team, int priority) {
        return processorMillis(other -> other.team().equals(team) && other.priority() <= priority);
    }

    /** Returns the core time of a team that comes before its new work of a priority. */
    double processorTimeOf(Optional<TeamName> team, int priority, double meanRunMilliseconds) {
        return processorTime(
                other -> other.team().equals(team) && other.priority() <= priority,
                meanRunMilliseconds);
    }

    /** Returns the number of submissions that need advice before one of a priority does. */
    long advisedBefore(int priority) {
        return all().stream()
                .map(Entry::submission)
                .filter(other -> other.advised() && other.priority() <= priority)
                .count();
    }

    private long processorMillis(Predicate<Submission> counted) {
        return all().stream()
                .map(Entry::submission)
                .filter(counted)
                .mapToLong(Submission::processorMillis)
                .sum();
    }

    private double processorTime(Predicate<Submission> counted, double meanRunMilliseconds) {
        return all().stream()
                .map(Entry::submission)
                .filter(counted)
                .mapToDouble(submission -> submission.processorTime(meanRunMilliseconds))
                .sum();
    }

    private Collection<Entry> all() {
        return entries.values();
    }
}
