package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.EndpointRenewed;
import org.marjoramnotch.model.message.Granted;

/**
 * An endpoint that follows the announcement protocol and fails the test when it is given more
 * attempts than slots.
 */
final class SimulatedEndpoint {
    private final String name;
    private final int slots;
    private final TestCell cell;
    private final Map<AttemptId, SlotKind> running = new LinkedHashMap<>();
    private final Set<AttemptId> abandonRequested = new LinkedHashSet<>();
    private final Set<AttemptId> abandoned = new LinkedHashSet<>();
    private int incarnation;
    EndpointState state = EndpointState.ACTIVE;
    boolean alive = true;

    SimulatedEndpoint(String name, int slots, TestCell cell) {
        this.name = name;
        this.slots = slots;
        this.cell = cell;
    }

    int incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        running.clear();
        abandoned.clear();
        abandonRequested.clear();
        alive = true;
        state = EndpointState.ACTIVE;
    }

    AnnounceEndpoint announcement() {
        EndpointDescription description = TestCell.endpoint(name, "i" + incarnation, slots);
        return new AnnounceEndpoint(
                description, state, List.copyOf(running.keySet()), List.copyOf(abandoned));
    }

    void onRenewed(EndpointRenewed renewed) {
        abandoned.retainAll(renewed.abandon());
        abandonRequested.addAll(renewed.abandon());
        renewed.abandon().stream()
                .filter(attempt -> !running.containsKey(attempt))
                .forEach(abandoned::add);
    }

    /**
     * Starts an attempt. Returns false if it has been asked to abandon the attempt or the attempt
     * was granted for an earlier process.
     */
    boolean start(Granted granted, SlotKind kind) {
        AttemptId attempt = granted.attempt();
        if (abandonRequested.contains(attempt)
                || !granted.incarnation().equals("i" + incarnation)) {
            return false;
        }
        assertThat(cell.state.attempt(attempt)).as("reservation of %s", attempt).isPresent();
        assertThat(running.put(attempt, kind)).as("earlier start of %s", attempt).isNull();
        assertThat(Collections.frequency(running.values(), kind))
                .as("attempts of kind %s on %s", kind, name)
                .isLessThanOrEqualTo(slots);
        return true;
    }

    /** Ends an attempt. Returns false if the process that ran it has been replaced. */
    boolean end(AttemptId attempt, int ofIncarnation) {
        return alive && incarnation == ofIncarnation && running.remove(attempt) != null;
    }
}
