package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.TaskPlacement;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.resource.Resources;

/**
 * Checks all placements of a command before any of them takes effect, so that either all of them
 * are applied or none.
 */
final class StartValidator {
    private final JobLedger ledger;
    private final TeamUsage usage;
    private final Set<TaskEntry> tasks = new HashSet<>();
    private final Map<WorkerEntry, Resources> needed = new HashMap<>();
    private final Map<TeamName, Integer> counts = new HashMap<>();
    private final List<ValidatedStart> checked = new ArrayList<>();

    StartValidator(JobLedger ledger, TeamUsage usage) {
        this.ledger = ledger;
        this.usage = usage;
    }

    /**
     * Returns the runs to start.
     *
     * @throws MarjoramnotchException if any of them may not start
     */
    List<ValidatedStart> check(List<TaskPlacement> placements) {
        for (TaskPlacement placement : placements) {
            WorkerEntry worker = requireWorker(placement);
            TaskEntry task = requireTask(placement.attempt());
            checkCapacity(worker, task);
            counts.merge(task.job.team, 1, Integer::sum);
            checked.add(new ValidatedStart(task, worker));
        }
        counts.forEach(this::checkLimit);
        return checked;
    }

    private WorkerEntry requireWorker(TaskPlacement placement) {
        WorkerEntry worker =
                ledger.worker(placement.worker())
                        .orElseThrow(
                                () ->
                                        refusal(
                                                ErrorCode.UNKNOWN_WORKER,
                                                "The worker is not registered; place the task"
                                                        + " again."));
        if (worker.epoch != placement.epoch()) {
            throw refusal(
                    ErrorCode.STALE_EPOCH,
                    "The worker has registered again since; place the task again.");
        }
        return worker;
    }

    private TaskEntry requireTask(TaskAttemptId attempt) {
        Optional<TaskEntry> found = ledger.task(attempt.task());
        TaskEntry task =
                found.orElseThrow(
                        () ->
                                refusal(
                                        ErrorCode.UNKNOWN_JOB,
                                        "The job has no such task or has ended; do not place the"
                                                + " task."));
        boolean startable =
                task.job.phase(task) == TaskPhase.QUEUED
                        && attempt.number() == task.lastRun + 1
                        && tasks.add(task);
        if (!startable) {
            throw refusal(
                    ErrorCode.STALE_EPOCH,
                    "The task is running, has ended or had another run since; read it again.");
        }
        return task;
    }

    private void checkCapacity(WorkerEntry worker, TaskEntry task) {
        Resources sum = needed.merge(worker, task.job.perTask(), Resources::plus);
        if (!worker.free().holds(sum)) {
            throw refusal(
                    ErrorCode.OVERLOADED,
                    "Worker "
                            + worker.id()
                            + " has too little free capacity; place the task elsewhere.");
        }
    }

    private void checkLimit(TeamName team, int count) {
        if (count > usage.remaining(team)) {
            throw refusal(
                    ErrorCode.TEAM_AT_LIMIT,
                    "Team " + team + " would exceed its upper limit; place the task again later.");
        }
    }

    private static MarjoramnotchException refusal(ErrorCode code, String message) {
        return new MarjoramnotchException(code, message);
    }
}
