package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetHistoryRecord;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.QueueMove;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.fleet.TeamLimit;
import org.marjoramnotch.model.fleet.WorkerKind;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * The kinds of workers and the limits of teams that the fleet has had, and when its queues were
 * sent to their pools. Workers leave and come back, and limits are lowered and raised, so what was
 * possible once may be possible again. Replicas that started from a snapshot of an earlier release
 * lack what was before it, so only proposals may depend on the history, never the application of a
 * command.
 */
final class FleetHistory {
    private final List<WorkerKind> kinds = new ArrayList<>();
    private final List<TeamLimit> limits = new ArrayList<>();
    private final Map<QueueName, QueueMove> moves = new TreeMap<>();

    void restore(FleetHistoryRecord stored) {
        kinds.addAll(stored.kinds());
        limits.addAll(stored.limits());
        stored.moves().forEach(move -> moves.put(move.queue(), move));
    }

    FleetHistoryRecord snapshot() {
        return new FleetHistoryRecord(
                List.copyOf(kinds), List.copyOf(limits), List.copyOf(moves.values()));
    }

    void record(FleetWorker worker) {
        addUnlessCovered(kinds, WorkerKind.of(worker), WorkerKind::covers);
    }

    void record(FleetConfiguration configuration) {
        for (TeamDefinition team : configuration.teams()) {
            addUnlessCovered(limits, team.limit(), TeamLimit::covers);
        }
    }

    /**
     * Records which queues a configuration sends to another pool than the one before it, or adds to
     * a pool without workers, and drops the queues that it does not have.
     *
     * @param before the queues of the configuration before it
     */
    void recordMoves(
            Map<QueueName, QueueDefinition> before,
            FleetConfiguration configuration,
            long proposedEpochMilliseconds) {
        Map<QueueName, QueueMove> known = Map.copyOf(moves);
        moves.clear();
        for (QueueDefinition queue : configuration.queues()) {
            QueueDefinition old = before.get(queue.name());
            boolean stays =
                    old == null
                            ? !kindsOf(queue.pool()).isEmpty()
                            : old.pool().equals(queue.pool());
            QueueMove move =
                    stays
                            ? known.get(queue.name())
                            : new QueueMove(
                                    queue.name(),
                                    queue.pool(),
                                    configuration.version(),
                                    proposedEpochMilliseconds);
            if (move != null) {
                moves.put(queue.name(), move);
            }
        }
    }

    /** Returns the last move of a queue, if one is known. */
    Optional<QueueMove> lastMove(QueueName queue) {
        return Optional.ofNullable(moves.get(queue));
    }

    private static <T> void addUnlessCovered(List<T> known, T added, BiPredicate<T, T> covers) {
        if (known.stream().noneMatch(other -> covers.test(other, added))) {
            known.removeIf(other -> covers.test(added, other));
            known.add(added);
        }
    }

    /** Drops the history of all other pools and teams, so that it stays bounded. */
    void retain(Set<ServiceName> pools, Set<TeamName> teams) {
        kinds.removeIf(kind -> !pools.contains(kind.pool()));
        limits.removeIf(limit -> !teams.contains(limit.team()));
    }

    /**
     * Returns whether a worker that the pool has had could run a task of the step, or it has had
     * none yet.
     */
    boolean mayFitWorker(ServiceName pool, StepDefinition step) {
        List<WorkerKind> known = kindsOf(pool);
        return known.isEmpty() || known.stream().anyMatch(kind -> kind.serves(step));
    }

    /** Returns the kinds of workers that a pool has had. */
    List<WorkerKind> kindsOf(ServiceName pool) {
        return kinds.stream().filter(kind -> kind.pool().equals(pool)).toList();
    }

    /** Returns the limits that a team has had. */
    List<TeamLimit> limitsOf(TeamName team) {
        return limits.stream().filter(limit -> limit.team().equals(team)).toList();
    }

    /** Returns whether a limit that the team has had allows this much, or it has had none yet. */
    boolean mayAllowTeam(TeamName team, Resources amount) {
        List<TeamLimit> known = limitsOf(team);
        return known.isEmpty() || known.stream().anyMatch(limit -> limit.allows(amount));
    }
}
