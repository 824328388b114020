package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * Lets workers go in each way at random moments, with calls that are lost or late and changes of
 * leader. No task may run twice (checked by the cell at each step), and all must run again soon.
 */
class WorkerDepartureTest {
    private static final int WORKERS = 6;
    private static final int STANDING_TASKS = 5;
    private static final int ROUNDS = 4;
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);

    /**
     * A lease of 3 s from the last change of leader at the rate of the slowest clock, and 3 s for
     * which work with room may be without a run.
     */
    private static final long RECOVERY_MILLISECONDS = 6_500;

    /** A way in which a worker goes; the next one under its name or address may come. */
    private enum Departure {
        CRASH {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.cell.crash(worker);
                test.replacement();
            }
        },
        CRASH_AND_RETURN {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.cell.crash(worker);
                test.pause(1_500);
                test.cell.addWorker(worker.value(), CAPACITY);
            }
        },
        RENAMED {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.cell.crash(worker);
                test.cell.network.rename(worker);
                test.pause(1_000);
                test.replacement();
            }
        },
        CUT_OFF {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.cell.cutOff(worker, true);
                test.pause(6_000);
                test.cell.cutOff(worker, false);
            }
        },
        RETURN_BEHIND_CUT {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.cell.cutOff(worker, true);
                test.pause(1_500);
                CRASH_AND_RETURN.begin(test, worker);
                test.pause(1_000);
                test.cell.cutOff(worker, false);
            }
        },
        RELEASED {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.drain(worker);
                test.release(worker);
                test.cell.run(1_000);
                test.exit(worker);
            }
        },
        EXITED_WITH_RELEASE {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.drain(worker);
                test.release(worker);
                test.exit(worker);
            }
        },
        RELEASED_BEHIND_CUT {
            @Override
            void begin(WorkerDepartureTest test, WorkerId worker) {
                test.drain(worker);
                test.cell.cutOff(worker, true);
                test.pause(500);
                test.release(worker);
                test.pause(3_000);
                test.exit(worker);
            }
        };

        abstract void begin(WorkerDepartureTest test, WorkerId worker);
    }

    private WorkflowCell cell = new WorkflowCell(0);
    private UniformRandomProvider random = cell.random();
    private int added;
    private boolean changesLeader;
    private final List<JobId> batches = new ArrayList<>();

    /** Returns the departures with seeds; a system property selects more seeds for a search. */
    static Stream<Arguments> departures() {
        long last = Long.getLong("departure.seeds", 6);
        return Stream.of(Departure.values())
                .flatMap(
                        departure ->
                                Stream.iterate(1L, seed -> seed <= last, seed -> seed + 1)
                                        .map(seed -> Arguments.of(departure, seed)));
    }

    @ParameterizedTest
    @MethodSource("departures")
    void tasksRunOnceAndAgainSoon(Departure departure, long seed) {
        start(seed + 1_000L * departure.ordinal());
        for (int round = 0; round < ROUNDS; round++) {
            submitBatch();
            pause(400);
            changesLeader = random.nextInt(2) == 0;
            cell.loseCalls(random.nextInt(3) * 0.1);
            departure.begin(this, busyWorker());
            if (changesLeader) {
                cell.changeLeader();
            }
            cell.loseCalls(0);
            cell.run(RECOVERY_MILLISECONDS);
            assertThat(standingTasks()).as("round %d", round).isEqualTo(STANDING_TASKS);
        }
        assertThat(batches)
                .extracting(id -> cell.ledger.workflow(id).orElseThrow().state())
                .containsOnly(WorkflowState.COMPLETE);
    }

    private void start(long seed) {
        cell = new WorkflowCell(seed);
        random = cell.random();
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        for (int worker = 0; worker < WORKERS; worker++) {
            replacement();
        }
        cell.run(1_000);
        submit("%016x".formatted(1), step().tasks(STANDING_TASKS).standing(true).mostPerWorker(1));
        cell.run(1_000);
    }

    private static StepDefinition.Builder step() {
        return StepDefinition.builder().demand(new Resources(1_000, 100, 0));
    }

    private void submit(String id, StepDefinition.Builder step) {
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(id),
                        new WorkflowDraft("payload", List.of(step.build()), Optional.empty())));
        cell.run(50);
    }

    private void submitBatch() {
        String id = "%016x".formatted(100 + batches.size());
        submit(id, step().tasks(2 * WORKERS).mostPerWorker(3).estimateMilliseconds(700));
        batches.add(new JobId(id));
    }

    private WorkerId busyWorker() {
        List<WorkerId> busy =
                cell.workers.keySet().stream()
                        .filter(id -> !cell.workers.get(id).live().isEmpty())
                        .toList();
        return busy.get(random.nextInt(busy.size()));
    }

    private void replacement() {
        added++;
        cell.addWorker("w-" + added, CAPACITY);
    }

    /** Waits for a random time, in which work may come and the leader may change. */
    private void pause(int mostMilliseconds) {
        if (random.nextInt(2) == 0) {
            submitBatch();
        }
        cell.run(random.nextInt(mostMilliseconds));
        if (changesLeader && random.nextInt(2) == 0) {
            changesLeader = false;
            cell.changeLeader();
        }
    }

    private void drain(WorkerId worker) {
        cell.workers.get(worker).drain();
        cell.run(1_600);
    }

    private void release(WorkerId worker) {
        long started = cell.workers.get(worker).worker().incarnation().startedEpochMilliseconds();
        cell.request(new ReleaseWorker(worker, OptionalLong.of(started)));
    }

    private void exit(WorkerId worker) {
        cell.crash(worker);
        cell.network.refuseConnections(worker);
        replacement();
    }

    private long standingTasks() {
        return cell.workers.values().stream()
                .flatMap(worker -> worker.live().stream())
                .filter(run -> run.step.standing())
                .count();
    }
}
