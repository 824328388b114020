package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.rule.QueuePolicy;

/** The tasks of a job that wait and are not proposed for a start. */
final class QueuedJob implements Comparable<QueuedJob> {
    private static final Deque<TaskEntry> NO_TASKS = new ArrayDeque<>(0);

    final JobEntry job;

    /** Orders the jobs of a team: when it was queued, later by a part of its run time. */
    final double orderKey;

    /** Workers on which runs of it ended badly lately. */
    Set<WorkerId> avoidedWorkers = Set.of();

    /** Workers of proposed placements that are not applied yet; kept for services only. */
    List<WorkerSession> proposed = List.of();

    /** Since when it waits without a break, or when it last got a worker. */
    long waitingSinceMilliseconds;

    /** Whether workers were ever kept for it, so that it may fit where others do not. */
    boolean hasReservation;

    /** When making room for it may be tried again. */
    long nextPreemptionMilliseconds;

    /** Workers that are being cleared for it. */
    int preemptions;

    /** Where it is filed while tasks of it wait. */
    @Nullable ShapeQueue shapeQueue;

    private Deque<TaskEntry> requeuedTasks = NO_TASKS;
    private int nextTask;
    private int waitingTasks;

    QueuedJob(JobEntry job, double orderKey) {
        this.job = job;
        this.orderKey = orderKey;
        for (TaskEntry task : job.tasks) {
            if (task.phase == TaskPhase.QUEUED) {
                if (task.lastRun > 0) {
                    requeue(task);
                } else {
                    waitingTasks++;
                }
            }
        }
    }

    boolean isEmpty() {
        return waitingTasks() == 0;
    }

    int waitingTasks() {
        return job.stopping ? 0 : waitingTasks;
    }

    /** Takes the next task out. */
    Optional<TaskEntry> poll() {
        if (isEmpty()) {
            return Optional.empty();
        }
        waitingTasks--;
        if (!requeuedTasks.isEmpty()) {
            return Optional.of(requeuedTasks.poll());
        }
        // Tasks that ran before this leader's term are given back when they wait again.
        while (job.tasks[nextTask].lastRun > 0) {
            nextTask++;
        }
        TaskEntry task = job.tasks[nextTask];
        nextTask++;
        return Optional.of(task);
    }

    /** Puts a task back that was taken out or whose run ended. */
    void requeue(TaskEntry task) {
        waitingTasks++;
        if (requeuedTasks == NO_TASKS) {
            requeuedTasks = new ArrayDeque<>();
        }
        requeuedTasks.addFirst(task);
    }

    /** Remembers where a task is proposed, for services, which spread their tasks. */
    void proposed(WorkerSession worker) {
        if (job.policy == QueuePolicy.SERVICE) {
            if (proposed.isEmpty()) {
                proposed = new ArrayList<>();
            }
            proposed.add(worker);
        }
    }

    /** Takes over that a proposal was applied; the task of a refused one waits again. */
    void onProposalApplied(ProposedStart start, boolean refused) {
        if (!proposed.isEmpty()) {
            proposed.remove(start.worker());
        }
        if (refused) {
            requeue(start.task());
        }
    }

    /** Keeps the job away from a worker on which a run of it ended badly. */
    void avoid(WorkerId worker) {
        if (avoidedWorkers.isEmpty()) {
            avoidedWorkers = new HashSet<>();
        }
        avoidedWorkers.add(worker);
    }

    @Override
    public int compareTo(QueuedJob other) {
        int byKey = Double.compare(orderKey, other.orderKey);
        return byKey != 0 ? byKey : Long.compare(job.sequence, other.job.sequence);
    }
}
