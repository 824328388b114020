package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * Changes the fleet after work was accepted, at each moment of the work and with each restart of
 * the replicas, and undoes the change some seconds later. Work that could be done at its acceptance
 * must never be shown as failed, and be done soon after the change is undone.
 */
class FeasibilityWalkTest {
    private static final String POSSIBLE = "0123456789abcdef";
    private static final String HOPELESS = "fedcba9876543210";

    private static final int ROUNDS = Integer.getInteger("feasibility.rounds", 1);

    /** A release that is answered, a lease and a quarantine after the change is undone. */
    private static final long RECOVERY_MILLISECONDS = 25_000;

    /** The longest that a leader takes to find that work can never be done. */
    private static final long HOPELESS_MILLISECONDS = 6_000;

    /** A change that makes the work impossible for some time. */
    private enum Change {
        QUEUE_SENT_AWAY(fleet -> fleet.sendAway(TwoPoolFleet.NO_ROOM), TwoPoolFleet::sendBack),
        LARGE_POOL_DROPPED(TwoPoolFleet::sendAwayAndDropPool, TwoPoolFleet::sendBack),
        ALL_DROPPED(TwoPoolFleet::dropAll, TwoPoolFleet::sendBack),
        DROPPED_AND_ADDED_ELSEWHERE(
                fleet -> {
                    fleet.dropAll();
                    fleet.sendAwayAndDropPool();
                },
                TwoPoolFleet::sendBack),
        LARGE_WORKERS_LEFT(
                TwoPoolFleet::removeLarge,
                fleet -> {
                    fleet.sendBack();
                    fleet.addLarge();
                }),
        LARGE_POOL_DROPPED_AND_EMPTY(
                fleet -> {
                    fleet.removeLarge();
                    fleet.sendAwayAndDropPool();
                },
                fleet -> {
                    fleet.sendBack();
                    fleet.addLarge();
                }),
        LIMIT_LOWERED(fleet -> fleet.limit(TwoPoolFleet.NO_ROOM), TwoPoolFleet::sendBack);

        private final Consumer<TwoPoolFleet> begin;
        private final Consumer<TwoPoolFleet> undo;

        Change(Consumer<TwoPoolFleet> begin, Consumer<TwoPoolFleet> undo) {
            this.begin = begin;
            this.undo = undo;
        }
    }

    /** The state of the work when the change comes. */
    private enum Moment {
        BEFORE_FIRST_RUN,
        BETWEEN_STEPS,
        AT_WORK,
        AFTER_LOST_RUN
    }

    /** What happens to the replicas during the change. */
    private enum Restart {
        NONE(cell -> {}),
        CHANGE_OF_LEADER(WorkflowCell::changeLeader),
        SNAPSHOT(WorkflowCell::restartFromSnapshot);

        private final Consumer<WorkflowCell> begin;

        Restart(Consumer<WorkflowCell> begin) {
            this.begin = begin;
        }
    }

    static List<Arguments> ways() {
        List<Arguments> ways = new ArrayList<>();
        for (long round = 0; round < ROUNDS; round++) {
            for (Change change : Change.values()) {
                for (Moment moment : Moment.values()) {
                    for (Restart restart : Restart.values()) {
                        ways.add(Arguments.of(change, moment, restart, ways.size()));
                    }
                }
            }
        }
        return ways;
    }

    @ParameterizedTest
    @MethodSource("ways")
    void possibleWorkIsDoneAndHopelessWorkFails(
            Change change, Moment moment, Restart restart, long seed) {
        TwoPoolFleet fleet = new TwoPoolFleet(seed);
        WorkflowCell cell = fleet.cell;
        UniformRandomProvider random = cell.random();
        submit(fleet, random, moment);
        fleet.submit(HOPELESS, Optional.empty(), List.of(TwoPoolFleet.step(70_000).build()));
        if (moment == Moment.AFTER_LOST_RUN) {
            fleet.remove("large-1");
            fleet.remove("large-2");
            cell.run(random.nextLong(300));
        }
        change.begin.accept(fleet);
        cell.run(random.nextLong(6_000));
        restart.begin.accept(cell);
        long restartedAt = cell.now();
        long undoneAt = restartedAt + HOPELESS_MILLISECONDS + random.nextLong(6_000);
        while (cell.now() < undoneAt) {
            cell.run(50);
            assertThat(fleet.state(POSSIBLE)).isNotEqualTo(WorkflowState.FAILED);
            if (cell.now() >= restartedAt + HOPELESS_MILLISECONDS) {
                assertThat(fleet.state(HOPELESS)).isEqualTo(WorkflowState.FAILED);
            }
        }
        change.undo.accept(fleet);
        if (moment == Moment.AFTER_LOST_RUN) {
            fleet.addLarge();
        }
        assertThat(fleet.completes(POSSIBLE, RECOVERY_MILLISECONDS))
                .as("state %s", fleet.state(POSSIBLE))
                .isTrue();
        cell.invariants.checkFollower(cell.ledger);
    }

    private static void submit(TwoPoolFleet fleet, UniformRandomProvider random, Moment moment) {
        boolean gang = random.nextBoolean();
        boolean timed = random.nextInt(3) == 0;
        StepDefinition.Builder large =
                TwoPoolFleet.step(20_000 + random.nextLong(13_000))
                        .tasks(2)
                        .gang(gang)
                        .checkpointing(random.nextBoolean())
                        .estimateMilliseconds(4_000);
        Optional<Recurrence> recurrence =
                timed
                        ? Optional.of(
                                new Recurrence(2, WorkflowCell.EPOCH + fleet.cell.now(), 9_000))
                        : Optional.empty();
        if (moment == Moment.BEFORE_FIRST_RUN) {
            fleet.limit(TwoPoolFleet.NO_ROOM);
        }
        if (moment == Moment.BETWEEN_STEPS) {
            StepDefinition first = TwoPoolFleet.step(1_000).estimateMilliseconds(4_000).build();
            fleet.submit(POSSIBLE, recurrence, List.of(first, large.after(List.of(0)).build()));
        } else {
            fleet.submit(POSSIBLE, recurrence, List.of(large.build()));
        }
        boolean atWork = moment == Moment.AT_WORK || moment == Moment.AFTER_LOST_RUN;
        if (atWork && timed) {
            fleet.cell.run(200);
        }
        assertThat(fleet.state(POSSIBLE))
                .isEqualTo(
                        moment == Moment.BEFORE_FIRST_RUN
                                ? WorkflowState.QUEUED
                                : WorkflowState.RUNNING);
    }
}
