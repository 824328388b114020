package org.marjoramnotch.logic.preemption;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;

/** What is free on the workers of a pool while stops are planned, and the runs still offered. */
final class PoolRooms {
    private final Map<WorkerIncarnation, Resources> rooms;
    private final Map<WorkerIncarnation, List<PreemptionCandidate>> candidates = new HashMap<>();
    private final Set<PreemptionCandidate> used =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private long stoppingProcessorMillis;

    /**
     * Runs that make room for one task on a worker.
     *
     * @param worker the worker
     * @param stopped the runs; empty if there is room already
     */
    record Choice(WorkerIncarnation worker, List<PreemptionCandidate> stopped) {
        long lostProcessorMilliseconds() {
            return stopped.stream().mapToLong(PreemptionCandidate::lostProcessorMilliseconds).sum();
        }

        long processorMillis() {
            return stopped.stream().mapToLong(PreemptionCandidate::processorMillis).sum();
        }

        int runs() {
            return stopped.stream().mapToInt(candidate -> candidate.parts().size()).sum();
        }

        /** Returns whether less is lost; the loss of worthless work does not count. */
        boolean isBetterThan(Choice other) {
            int order = Long.compare(lostWorth(), other.lostWorth());
            return order < 0 || (order == 0 && processorMillis() < other.processorMillis());
        }

        private long lostWorth() {
            return stopped.stream()
                    .filter(candidate -> candidate.loss() != PreemptionLoss.WORTHLESS)
                    .mapToLong(PreemptionCandidate::lostProcessorMilliseconds)
                    .sum();
        }
    }

    /**
     * Creates the rooms at the begin of a plan.
     *
     * @param rooms what is free on each worker
     * @param ordered the runs that may be stopped, the one to stop first in front
     * @param stoppingProcessorMillis how much is being stopped, in thousandths of a processor
     */
    PoolRooms(
            Map<WorkerIncarnation, Resources> rooms,
            List<PreemptionCandidate> ordered,
            long stoppingProcessorMillis) {
        this.rooms = new LinkedHashMap<>(rooms);
        this.stoppingProcessorMillis = stoppingProcessorMillis;
        for (PreemptionCandidate candidate : ordered) {
            candidate.parts().stream()
                    .map(PreemptionCandidate.Part::worker)
                    .distinct()
                    .forEach(
                            worker ->
                                    candidates
                                            .computeIfAbsent(worker, id -> new ArrayList<>())
                                            .add(candidate));
        }
    }

    private PoolRooms(PoolRooms other) {
        rooms = new LinkedHashMap<>(other.rooms);
        candidates.putAll(other.candidates);
        used.addAll(other.used);
        stoppingProcessorMillis = other.stoppingProcessorMillis;
    }

    PoolRooms copy() {
        return new PoolRooms(this);
    }

    Set<WorkerIncarnation> workers() {
        return rooms.keySet();
    }

    long stoppingProcessorMillis() {
        return stoppingProcessorMillis;
    }

    /** Returns the runs that make room on a worker; empty if all of them together do not. */
    Optional<Choice> choose(WorkerIncarnation worker, Resources demand) {
        Resources room = rooms.getOrDefault(worker, Resources.NONE);
        List<PreemptionCandidate> chosen = new ArrayList<>();
        for (PreemptionCandidate candidate : candidates.getOrDefault(worker, List.of())) {
            if (room.holds(demand)) {
                break;
            }
            if (!used.contains(candidate) && !isSecondOfStandingStep(candidate, chosen)) {
                chosen.add(candidate);
                room = room.plus(candidate.on(worker));
            }
        }
        if (!room.holds(demand)) {
            return Optional.empty();
        }
        for (int index = chosen.size() - 1; index >= 0; index--) {
            Resources without = room.minus(chosen.get(index).on(worker));
            if (without.holds(demand)) {
                room = without;
                chosen.remove(index);
            }
        }
        return Optional.of(new Choice(worker, chosen));
    }

    /** Takes the room for a task that a choice makes. */
    void take(Choice choice, Resources demand) {
        for (PreemptionCandidate candidate : choice.stopped()) {
            used.add(candidate);
            stoppingProcessorMillis += candidate.processorMillis();
            for (PreemptionCandidate.Part part : candidate.parts()) {
                rooms.computeIfPresent(
                        part.worker(), (worker, room) -> room.plus(part.resources()));
            }
        }
        rooms.computeIfPresent(choice.worker(), (worker, room) -> room.minus(demand));
    }

    private boolean isSecondOfStandingStep(
            PreemptionCandidate candidate, List<PreemptionCandidate> chosen) {
        return candidate.standingStep().isPresent()
                && (isStandingStepIn(candidate, chosen) || isStandingStepIn(candidate, used));
    }

    private static boolean isStandingStepIn(
            PreemptionCandidate candidate, Iterable<PreemptionCandidate> others) {
        for (PreemptionCandidate other : others) {
            if (other.standingStep().equals(candidate.standingStep())) {
                return true;
            }
        }
        return false;
    }
}
