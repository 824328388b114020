package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.EndpointRenewed;

/**
 * A simulated endpoint that keeps its contract, and fails the run if it is given more work than it
 * has slots.
 */
final class SimulatedEndpoint {
    static final int SLOTS = 3;
    private static final long RENEWAL_MILLISECONDS = 1_000;

    private final String name;
    private final CellSimulation simulation;
    private final Map<AttemptId, TeamName> running = new HashMap<>();
    private final Set<AttemptId> abandoned = new HashSet<>();
    private int incarnation;

    SimulatedEndpoint(String name, CellSimulation simulation) {
        this.name = name;
        this.simulation = simulation;
        announcePeriodically();
    }

    void restart() {
        incarnation++;
        running.clear();
        abandoned.clear();
    }

    /**
     * Starts an attempt unless it was abandoned or granted to an earlier incarnation; returns
     * whether it was started.
     */
    boolean start(AttemptId attempt, String grantedIncarnation, TeamName team) {
        if (abandoned.contains(attempt) || !grantedIncarnation.equals("i" + incarnation)) {
            return false;
        }
        running.put(attempt, team);
        assertThat(running).as("running on %s", name).hasSizeLessThanOrEqualTo(SLOTS);
        return true;
    }

    /** Ends an attempt and returns whether it was still running. */
    boolean end(AttemptId attempt) {
        return running.remove(attempt) != null;
    }

    long running(TeamName team) {
        return running.values().stream().filter(team::equals).count();
    }

    private void announcePeriodically() {
        int process = incarnation;
        long until = simulation.time + RENEWAL_MILLISECONDS;
        AnnounceEndpoint announcement =
                new AnnounceEndpoint(
                        description(),
                        EndpointState.ACTIVE,
                        List.copyOf(running.keySet()),
                        List.copyOf(abandoned));
        simulation.sendUntilAnswered(
                announcement,
                () -> process == incarnation && simulation.time < until,
                reply -> {
                    if (reply instanceof EndpointRenewed renewed) {
                        renewed.abandon().stream()
                                .filter(attempt -> !running.containsKey(attempt))
                                .forEach(abandoned::add);
                    }
                });
        simulation.schedule(RENEWAL_MILLISECONDS, this::announcePeriodically);
    }

    private EndpointDescription description() {
        return new EndpointDescription(
                new EndpointId(name),
                "i" + incarnation,
                new ServiceName("gas-check"),
                "127.0.0.1",
                1,
                SLOTS,
                2 * SLOTS,
                new AvailabilityZone("zone"),
                "vm");
    }
}
