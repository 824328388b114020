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

/** The queued tasks of a job for which no start is proposed. */
final class QueuedJob implements Comparable<QueuedJob> {
    private static final Deque<TaskEntry> NO_TASKS = new ArrayDeque<>(0);

    final JobEntry job;

    /**
     * Sort key among the jobs of a team: the time at which the job was queued plus a fraction of
     * its estimated run time, in milliseconds.
     */
    final double orderKey;

    /** Workers on which runs of the job failed recently. */
    Set<WorkerId> avoidedWorkers = Set.of();

    /** Workers of proposed placements that are not applied yet; maintained for services only. */
    List<WorkerSession> proposedWorkers = List.of();

    /**
     * The time since which the job waits without interruption, or at which it last got a worker.
     */
    long waitingSinceMilliseconds;

    /** Whether workers were ever reserved for the job, so that it may fit where others do not. */
    boolean hadReservation;

    /** The earliest time at which preemption for the job may be tried again. */
    long nextPreemptionMilliseconds;

    /** Number of workers that preemption is currently clearing for the job. */
    int preemptions;

    /** The queue that contains the job while it has waiting tasks. */
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

    /** Removes and returns the next task. */
    Optional<TaskEntry> poll() {
        if (isEmpty()) {
            return Optional.empty();
        }
        waitingTasks--;
        if (!requeuedTasks.isEmpty()) {
            return Optional.of(requeuedTasks.poll());
        }
        // Skips tasks that ran before the term of this leader: they are requeued when they wait
        // again.
        while (job.tasks[nextTask].lastRun > 0) {
            nextTask++;
        }
        TaskEntry task = job.tasks[nextTask];
        nextTask++;
        return Optional.of(task);
    }

    /** Puts back a task that was polled or whose run ended. */
    void requeue(TaskEntry task) {
        waitingTasks++;
        if (requeuedTasks == NO_TASKS) {
            requeuedTasks = new ArrayDeque<>();
        }
        requeuedTasks.addFirst(task);
    }

    /**
     * Records the worker of a proposed start. Only services need it, since they spread their tasks.
     */
    void addProposedWorker(WorkerSession worker) {
        if (job.policy == QueuePolicy.SERVICE) {
            if (proposedWorkers.isEmpty()) {
                proposedWorkers = new ArrayList<>();
            }
            proposedWorkers.add(worker);
        }
    }

    /** Handles the result of a proposed start. The task waits again if the proposal was refused. */
    void onProposalApplied(ProposedStart start, boolean refused) {
        if (!proposedWorkers.isEmpty()) {
            proposedWorkers.remove(start.worker());
        }
        if (refused) {
            requeue(start.task());
        }
    }

    /** Excludes a worker on which a run of the job failed. */
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
