package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.configuration.WorkAuthorization;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.job.TaskEnd;

/**
 * The replicated state of jobs, their runs and the workers that hold them.
 *
 * <p>The key and the queue are checked when a job is accepted. An accepted job continues after its
 * key is withdrawn. When its team is removed, none of its tasks can start any more, because the
 * team's limit is then 0, and the leader cancels the job.
 */
public final class JobLedger {
    private static final Comparator<TaskEntry> BY_SEQUENCE =
            Comparator.<TaskEntry>comparingLong(task -> task.job.sequence)
                    .thenComparingInt(task -> task.number);

    private final ConfigurationView configuration;
    private final TeamUsage usage;
    private final Map<WorkerId, WorkerEntry> workers = new TreeMap<>();
    private final JobIndex jobs = new JobIndex();
    private final TaskRuns runs;
    private long lastEpoch;
    private long lastSequence;

    /**
     * Creates an empty ledger.
     *
     * @param configuration the rules in force when each command is applied
     * @param usage counts the runs of each team, shared with the other parts of the ledger
     */
    public JobLedger(ConfigurationView configuration, TeamUsage usage) {
        this.configuration = configuration;
        this.usage = usage;
        this.runs = new TaskRuns(usage, jobs);
    }

    /**
     * Registers a worker, which must not be running anything, and ends the runs of its previous
     * epoch.
     */
    public CommandResult apply(RegisterWorker command) {
        worker(command.description().worker()).ifPresent(this::remove);
        lastEpoch++;
        WorkerEntry worker = new WorkerEntry(command.description(), lastEpoch);
        workers.put(worker.id(), worker);
        runs.listener().workerAdded(worker);
        return new CommandResult.WorkerAccepted(worker.epoch);
    }

    /** Removes a worker whose lease has expired, unless it has registered again since. */
    public CommandResult apply(ExpireWorker command) {
        worker(command.worker())
                .filter(worker -> worker.epoch == command.epoch())
                .ifPresent(this::remove);
        return new CommandResult.Accepted();
    }

    /** Accepts a job. A resent command gets the result of the first one. */
    public CommandResult apply(SubmitJob command) {
        return rejectOnError(
                () -> {
                    Optional<JobEntry> first =
                            jobs.findResent(command).or(() -> jobs.job(command.job()));
                    JobEntry job = first.isPresent() ? first.get() : accept(command);
                    return new CommandResult.JobAccepted(job.id);
                });
    }

    /** Cancels a job in constant time. A job that has ended is not changed. */
    public CommandResult apply(CancelJob command) {
        return rejectOnError(
                () -> {
                    JobEntry job = jobs.require(command.job());
                    if (!job.hasEnded()) {
                        job.cancelled = true;
                        runs.stop(job);
                        runs.finishIfEnded(job);
                    }
                    return new CommandResult.Accepted();
                });
    }

    /** Starts either all runs of the command or none. */
    public CommandResult apply(StartTasks command) {
        return rejectOnError(
                () -> {
                    new StartValidator(this, usage)
                            .check(command.placements())
                            .forEach(runs::start);
                    return new CommandResult.Accepted();
                });
    }

    /** Ends a run, or does nothing if it is not the current run of its task. */
    public CommandResult apply(EndTask command) {
        task(command.attempt().task())
                .filter(task -> task.isCurrentRun(command.attempt().number()))
                .ifPresent(task -> runs.end(task, command.end()));
        return new CommandResult.Accepted();
    }

    /** Returns the status of a job. */
    public Optional<JobStatus> status(JobId job) {
        return jobs.job(job).map(JobEntry::status);
    }

    /** Returns how many workers are registered. */
    public int workerCount() {
        return workers.size();
    }

    /** Returns how many runs hold resources. */
    public int runningCount() {
        return runs.running();
    }

    /** Returns how many tasks are queued. */
    public int queuedCount() {
        return runs.queued();
    }

    /** Returns a snapshot of the whole state. */
    public JobSnapshot snapshot() {
        return new JobSnapshot(
                lastEpoch,
                lastSequence,
                JobSnapshots.writeWorkers(workers.values()),
                JobSnapshots.writeJobs(jobs.live()),
                JobSnapshots.writeJobs(jobs.ended()));
    }

    /**
     * Replaces the whole state by a snapshot and adds its runs to the team usage, which must not
     * contain any runs of jobs yet.
     */
    public void restore(JobSnapshot snapshot) {
        workers.clear();
        jobs.clear();
        runs.clear();
        lastEpoch = snapshot.lastEpoch();
        lastSequence = snapshot.lastSequence();
        JobSnapshots.readWorkers(snapshot).forEach(worker -> workers.put(worker.id(), worker));
        for (JobEntry job : JobSnapshots.readJobs(snapshot.jobs(), workers)) {
            jobs.add(job);
            runs.restore(job);
        }
        for (JobEntry job : JobSnapshots.readJobs(snapshot.finished(), workers)) {
            jobs.add(job);
            jobs.end(job);
        }
    }

    /** Sets the listener, replacing the previous one. */
    void setListener(JobLedgerListener listener) {
        runs.setListener(listener);
    }

    Optional<WorkerEntry> worker(WorkerId id) {
        return Optional.ofNullable(workers.get(id));
    }

    Collection<WorkerEntry> workers() {
        return workers.values();
    }

    Optional<JobEntry> job(JobId id) {
        return jobs.job(id);
    }

    /**
     * Returns a job.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_JOB}
     */
    JobEntry requireJob(JobId id) {
        return jobs.require(id);
    }

    List<JobEntry> liveJobs() {
        return jobs.live();
    }

    Optional<TaskEntry> task(TaskId id) {
        return jobs.task(id);
    }

    private JobEntry accept(SubmitJob command) {
        AuthorizedWork work =
                WorkAuthorization.reauthorize(
                        configuration, command.queue(), command.team(), command.key());
        JobValidation.check(work.queue(), command.specification());
        lastSequence++;
        JobEntry job =
                JobEntry.forAccepted(
                        command.job(),
                        lastSequence,
                        work.queue(),
                        work.team().team(),
                        command.specification());
        job.submittedWithKey = work.key().isPresent();
        if (command.request().isPresent()) {
            job.request = command.request().get();
            job.fingerprint = JobValidation.fingerprint(command);
        }
        runs.accept(job);
        return job;
    }

    /**
     * Removes a worker and ends its runs in the order of acceptance of their jobs. This order does
     * not depend on how the state was built, from the log or from a snapshot.
     */
    private void remove(WorkerEntry worker) {
        List<TaskEntry> ended = new ArrayList<>(worker.runs());
        ended.sort(BY_SEQUENCE);
        ended.forEach(task -> runs.end(task, TaskEnd.LEASE_EXPIRED));
        workers.remove(worker.id());
        runs.listener().workerRemoved(worker);
    }

    private static CommandResult rejectOnError(Supplier<CommandResult> change) {
        try {
            return change.get();
        } catch (MarjoramnotchException exception) {
            if (exception.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw exception;
            }
            return new CommandResult.Rejected(exception.refusal());
        }
    }
}
