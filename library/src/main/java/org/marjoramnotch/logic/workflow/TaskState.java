package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.TaskRecord;
import org.marjoramnotch.model.workflow.UnlistedRun;

/** State of a task in the ledger. */
final class TaskState {
    /** The phase of a task. */
    enum Phase {
        WAITING,
        RUNNING,
        DONE
    }

    private static final int MAXIMUM_UNLISTED_RUNS = 8;

    private Phase phase = Phase.WAITING;
    private long run;
    private int failures;
    private long failedRun;
    private String checkpoint = "";
    private @Nullable WorkerId worker;
    private boolean endedUnseen;
    private boolean startedByNextLife;
    private final List<UnlistedRun> unlistedRuns = new ArrayList<>();

    static TaskState of(TaskRecord task) {
        TaskState state = new TaskState();
        state.phase =
                switch (task.phase()) {
                    case 'R' -> Phase.RUNNING;
                    case 'D' -> Phase.DONE;
                    default -> Phase.WAITING;
                };
        state.run = task.run();
        state.failures = task.failures();
        state.failedRun = task.failedRun();
        state.checkpoint = task.checkpoint();
        state.worker = task.worker().orElse(null);
        state.endedUnseen = task.endedUnseen();
        state.startedByNextLife = task.startedByNextLife();
        state.unlistedRuns.addAll(task.unlistedRuns());
        return state;
    }

    TaskRecord snapshot() {
        char letter = phase.name().charAt(0);
        return new TaskRecord(
                letter,
                run,
                failures,
                failedRun,
                checkpoint,
                Optional.ofNullable(worker),
                endedUnseen,
                startedByNextLife,
                List.copyOf(unlistedRuns));
    }

    Phase phase() {
        return phase;
    }

    boolean isWaiting() {
        return phase == Phase.WAITING;
    }

    boolean isRunning() {
        return phase == Phase.RUNNING;
    }

    /** Returns the number of the last run; 0 before the first. */
    long run() {
        return run;
    }

    int failures() {
        return failures;
    }

    String checkpoint() {
        return checkpoint;
    }

    /** Returns the worker of the last run. */
    Optional<WorkerId> worker() {
        return Optional.ofNullable(worker);
    }

    void start(long number, WorkerId newWorker) {
        phase = Phase.RUNNING;
        run = number;
        worker = newWorker;
        endedUnseen = false;
        startedByNextLife = false;
    }

    /** Returns whether the task waits and its last run was on a worker. */
    boolean isWaitingAfterRunOn(WorkerId id) {
        return isWaiting() && id.equals(worker);
    }

    /**
     * Notes that the last run ended with the incarnation of its worker, and that the next one may
     * have carried out its start.
     */
    void endUnseen() {
        endedUnseen = true;
    }

    /** Notes that the next incarnation of the worker has carried out the last start. */
    void startByNextLife() {
        endedUnseen = true;
        startedByNextLife = true;
    }

    /** Returns whether the next incarnation of the worker has carried out the last start. */
    boolean isStartedByNextLife() {
        return startedByNextLife;
    }

    /**
     * Returns whether the task waits and the next incarnation of its worker may have received the
     * start of its last run.
     */
    boolean mayHaveStartedUnseen() {
        return isWaiting() && endedUnseen;
    }

    /**
     * Makes the task wait again after its run ended, and keeps the new checkpoint unless it is
     * empty.
     */
    void returnToWaiting(String newCheckpoint) {
        phase = Phase.WAITING;
        if (!newCheckpoint.isEmpty()) {
            checkpoint = newCheckpoint;
        }
    }

    /** Notes a run that is recorded as over although no list has shown its end. */
    void addUnlistedRun(UnlistedRun unlisted) {
        unlistedRuns.add(unlisted);
        if (unlistedRuns.size() > MAXIMUM_UNLISTED_RUNS) {
            unlistedRuns.remove(0);
        }
    }

    /**
     * Returns whether the failure of a run that was recorded as over counts as an attempt.
     *
     * @param lister the incarnation that lists its end
     */
    boolean countsLateFailure(long number, WorkerIncarnation lister) {
        return phase != Phase.DONE
                && unlistedRuns.stream()
                        .anyMatch(
                                unlisted ->
                                        unlisted.number() == number
                                                && unlisted.lapsedEpochMilliseconds()
                                                        != lister.startedEpochMilliseconds());
    }

    /** Counts the failure of a run; it is not counted again. */
    void countFailure(long number) {
        failures++;
        failedRun = Math.max(failedRun, number);
        forgetUnlistedRun(number);
    }

    void forgetUnlistedRun(long number) {
        unlistedRuns.removeIf(unlisted -> unlisted.number() == number);
    }

    /** Returns the highest number of a run whose failure was counted; 0 for none. */
    long failedRun() {
        return failedRun;
    }

    void finish() {
        phase = Phase.DONE;
    }
}
