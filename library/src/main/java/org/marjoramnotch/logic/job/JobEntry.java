package org.marjoramnotch.logic.job;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobProgress;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;

/**
 * A job with its tasks. It keeps the policy and the repetition that its queue had when the job was
 * accepted.
 */
final class JobEntry {
    private static final TaskEntry[] NO_TASKS = {};

    final JobId id;
    final long sequence;
    final QueueName queue;
    final TeamName team;
    final QueuePolicy policy;
    final Repetition repetition;
    JobSpecification specification;
    TaskEntry[] tasks;
    boolean submittedWithKey;
    @Nullable RequestId request;
    @Nullable String fingerprint;
    int queued;
    int running;
    int succeeded;
    int failed;
    boolean cancelled;

    /** Whether no further task may start. */
    boolean stopping;

    /** Whether a run has succeeded. */
    boolean hasSucceededRun;

    /** Whether a run has ended that may have done work. */
    boolean mayHaveRun;

    JobEntry(
            JobId id,
            long sequence,
            QueueName queue,
            TeamName team,
            QueuePolicy policy,
            Repetition repetition,
            JobSpecification specification) {
        this.id = id;
        this.sequence = sequence;
        this.queue = queue;
        this.team = team;
        this.policy = policy;
        this.repetition = repetition;
        this.specification = specification;
        this.queued = specification.tasks();
        this.tasks = new TaskEntry[specification.tasks()];
        for (int number = 0; number < tasks.length; number++) {
            tasks[number] = new TaskEntry(this, number);
        }
    }

    static JobEntry forAccepted(
            JobId id,
            long sequence,
            QueueRule rule,
            TeamName team,
            JobSpecification specification) {
        return new JobEntry(
                id, sequence, rule.queue(), team, rule.policy(), rule.repetition(), specification);
    }

    Resources perTask() {
        return specification.perTask();
    }

    boolean hasEnded() {
        return queued == 0 && running == 0;
    }

    /**
     * Cancels all queued tasks in constant time. From now on, {@link #phase} returns {@link
     * TaskPhase#CANCELLED} for them.
     */
    void stop() {
        stopping = true;
        queued = 0;
    }

    /**
     * Returns the phase of a task, which is {@link TaskPhase#CANCELLED} if the task was queued when
     * its job was stopped.
     */
    TaskPhase phase(TaskEntry task) {
        return stopping && task.phase == TaskPhase.QUEUED ? TaskPhase.CANCELLED : task.phase;
    }

    /** Drops the tasks and the payload, which an ended job no longer needs. */
    void compact() {
        Invariant.check(hasEnded(), "A job is compacted before it has ended");
        tasks = NO_TASKS;
        specification =
                new JobSpecification(
                        specification.name(),
                        specification.tasks(),
                        specification.perTask(),
                        specification.expectedRunMilliseconds(),
                        specification.urgent(),
                        "");
    }

    JobStatus status() {
        return new JobStatus(id, state(), outcome(), queued, running, succeeded, failed);
    }

    JobProgress progress() {
        return new JobProgress(
                queued,
                running,
                succeeded,
                failed,
                cancelled,
                stopping,
                hasSucceededRun,
                mayHaveRun);
    }

    void restore(JobProgress progress) {
        queued = progress.queued();
        running = progress.running();
        succeeded = progress.succeeded();
        failed = progress.failed();
        cancelled = progress.cancelled();
        stopping = progress.stopping();
        hasSucceededRun = progress.ran();
        mayHaveRun = progress.mayHaveRun();
    }

    private JobState state() {
        if (!hasEnded()) {
            return running > 0 ? JobState.RUNNING : JobState.QUEUED;
        }
        if (cancelled) {
            return JobState.CANCELLED;
        }
        return failed > 0 ? JobState.FAILED : JobState.SUCCEEDED;
    }

    /** Returns NOT_RUN only if no task can run any more. */
    private ExecutionOutcome outcome() {
        if (hasSucceededRun) {
            return ExecutionOutcome.RAN;
        }
        return hasEnded() && !mayHaveRun ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.UNKNOWN;
    }
}
