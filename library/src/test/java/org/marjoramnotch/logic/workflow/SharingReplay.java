package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Replays short work of twenty teams on one pool in virtual time and measures how long it waits
 * until all its tasks have started.
 */
final class SharingReplay {
    static final int TEAMS = 20;

    /** Number of the callers without a key. */
    static final int NO_TEAM = TEAMS;

    private static final int WORKERS = 64;
    private static final long WORKER_PROCESSOR_MILLIS = 64_000;
    private static final int TASKS = 10;
    private static final long TASK_PROCESSOR_MILLIS = 8_900;
    private static final long TASK_MILLISECONDS = 640;
    private static final int STEP_MILLISECONDS = 5;

    private record Submission(JobId workflow, int team, long sentAt) {}

    final WorkflowCell cell;
    private final List<Submission> submissions = new ArrayList<>();
    private final List<Submission> open = new ArrayList<>();
    private final Map<Submission, Long> waits = new HashMap<>();
    private long version;

    SharingReplay(long seed) {
        cell = new WorkflowCell(seed);
        cell.answerListsPromptly();
        cell.checkEvery(500);
    }

    /** Puts a configuration in force in which one team has another weight than the others. */
    void configure(int team, long itsWeight, long weight) {
        version++;
        cell.request(
                new ApplyConfiguration(
                        new FleetConfiguration(
                                version,
                                "document " + version,
                                List.of(
                                        TestFleet.queue(
                                                "short", "/short/", 0, true, Optional.empty())),
                                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                                IntStream.range(0, TEAMS)
                                        .mapToObj(
                                                index ->
                                                        new TeamDefinition(
                                                                new TeamName("team-" + index),
                                                                List.of("key-" + index),
                                                                index == team ? itsWeight : weight,
                                                                Resources.NONE))
                                        .toList())));
        cell.run(100);
    }

    void addWorkers() {
        for (int index = 0; index < WORKERS; index++) {
            cell.addWorker("w-" + index, new Resources(WORKER_PROCESSOR_MILLIS, 128_000, 0));
        }
        cell.workers
                .values()
                .forEach(worker -> worker.useRunTimes(StepDefinition::estimateMilliseconds));
    }

    /**
     * Advances the time under load.
     *
     * @param loads what each team sends, as a part of what the pool can run
     */
    void run(long milliseconds, IntToDoubleFunction loads) {
        double fullRate =
                (double) WORKERS
                        * WORKER_PROCESSOR_MILLIS
                        / (TASKS * TASK_PROCESSOR_MILLIS * TASK_MILLISECONDS);
        long end = cell.now() + milliseconds;
        while (cell.now() < end) {
            for (int team = 0; team <= NO_TEAM; team++) {
                double expected = loads.applyAsDouble(team) * fullRate * STEP_MILLISECONDS;
                if (cell.random().nextDouble() < expected) {
                    submit(team);
                }
            }
            cell.run(STEP_MILLISECONDS);
            open.removeIf(this::hasStarted);
        }
    }

    /** Returns the sorted waits of the accepted work of some teams. */
    long[] waits(int... teams) {
        return submissions.stream()
                .filter(sent -> Arrays.stream(teams).anyMatch(team -> team == sent.team))
                .filter(sent -> cell.ledger.workflow(sent.workflow).isPresent())
                .mapToLong(sent -> waits.getOrDefault(sent, cell.now() - sent.sentAt))
                .sorted()
                .toArray();
    }

    /** Returns the wait that a tenth of the work exceeds. */
    static long slowestTenth(long[] waits) {
        return waits[waits.length * 9 / 10];
    }

    private boolean hasStarted(Submission sent) {
        boolean started =
                cell.ledger
                        .workflow(sent.workflow)
                        .filter(
                                entry ->
                                        entry.steps(0).get(0).tasks().stream()
                                                .allMatch(task -> task.run() > 0))
                        .isPresent();
        if (started) {
            waits.put(sent, cell.now() - sent.sentAt);
        }
        return started;
    }

    private void submit(int team) {
        String id = "%016x".formatted(submissions.size() + 1);
        Submission sent = new Submission(new JobId(id), team, cell.now());
        submissions.add(sent);
        open.add(sent);
        Optional<String> key = team == NO_TEAM ? Optional.empty() : Optional.of("key-" + team);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(TASK_PROCESSOR_MILLIS, 100, 0))
                        .estimateMilliseconds(TASK_MILLISECONDS)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        new CallTarget("callers.example", "/short/" + id, key),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }
}
