package org.marjoramnotch.logic.preemption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
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
    /** What is free on a worker, and the runs on it that may be stopped, in order. */
    static final class Room {
        private final WorkerIncarnation worker;
        private final List<PreemptionCandidate> candidates;
        private Resources free;

        Room(WorkerIncarnation worker, List<PreemptionCandidate> candidates, Resources free) {
            this.worker = worker;
            this.candidates = candidates;
            this.free = free;
        }

        WorkerIncarnation worker() {
            return worker;
        }
    }

    private final Map<WorkerIncarnation, Room> rooms = new LinkedHashMap<>();
    private final Set<PreemptionCandidate> used =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private long stoppingProcessorMillis;

    /** Runs that make room for one task on a worker; none if there is room already. */
    static final class Choice {
        private final WorkerIncarnation worker;
        private final List<PreemptionCandidate> stopped;
        private long lost;
        private long lostWorth;
        private long processorMillis;
        private int runs;

        Choice(WorkerIncarnation worker, List<PreemptionCandidate> stopped) {
            this.worker = worker;
            this.stopped = stopped;
            for (PreemptionCandidate candidate : stopped) {
                long candidateLost = candidate.lostProcessorMilliseconds();
                lost += candidateLost;
                lostWorth += candidate.loss() == PreemptionLoss.WORTHLESS ? 0 : candidateLost;
                processorMillis += candidate.processorMillis();
                runs += candidate.parts().size();
            }
        }

        WorkerIncarnation worker() {
            return worker;
        }

        List<PreemptionCandidate> stopped() {
            return stopped;
        }

        long lostProcessorMilliseconds() {
            return lost;
        }

        long processorMillis() {
            return processorMillis;
        }

        int runs() {
            return runs;
        }

        /** Returns whether less is lost; the loss of worthless work does not count. */
        boolean isBetterThan(Choice other) {
            return lostWorth < other.lostWorth
                    || (lostWorth == other.lostWorth && processorMillis < other.processorMillis);
        }
    }

    /**
     * Creates the rooms at the begin of a plan.
     *
     * @param free what is free on each worker
     * @param ordered the runs that may be stopped, the one to stop first in front
     * @param stoppingProcessorMillis how much is being stopped, in thousandths of a processor
     */
    PoolRooms(
            Map<WorkerIncarnation, Resources> free,
            List<PreemptionCandidate> ordered,
            long stoppingProcessorMillis) {
        free.forEach(
                (worker, amount) -> rooms.put(worker, new Room(worker, new ArrayList<>(), amount)));
        this.stoppingProcessorMillis = stoppingProcessorMillis;
        for (PreemptionCandidate candidate : ordered) {
            for (PreemptionCandidate.Part part : candidate.parts()) {
                Room room = rooms.get(part.worker());
                if (room != null && !isLast(candidate, room.candidates)) {
                    room.candidates.add(candidate);
                }
            }
        }
    }

    private static boolean isLast(
            PreemptionCandidate candidate, List<PreemptionCandidate> candidates) {
        return !candidates.isEmpty() && candidates.get(candidates.size() - 1) == candidate;
    }

    private PoolRooms(PoolRooms other) {
        other.rooms.forEach(
                (worker, room) -> rooms.put(worker, new Room(worker, room.candidates, room.free)));
        used.addAll(other.used);
        stoppingProcessorMillis = other.stoppingProcessorMillis;
    }

    PoolRooms copy() {
        return new PoolRooms(this);
    }

    Collection<Room> rooms() {
        return rooms.values();
    }

    long stoppingProcessorMillis() {
        return stoppingProcessorMillis;
    }

    /** Returns the runs that make room on a worker; empty if all of them together do not. */
    Optional<Choice> choose(Room at, Resources demand) {
        WorkerIncarnation worker = at.worker;
        Resources room = at.free;
        List<PreemptionCandidate> chosen = new ArrayList<>();
        for (PreemptionCandidate candidate : at.candidates) {
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
                Room room = rooms.get(part.worker());
                if (room != null) {
                    room.free = room.free.plus(part.resources());
                }
            }
        }
        Room room = rooms.get(choice.worker());
        if (room != null) {
            room.free = room.free.minus(demand);
        }
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
