package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.configuration.WorkAuthorization;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.SubmitJobRequest;

/**
 * Handles requests to submit and to cancel jobs. They are answered after the change is committed.
 */
final class JobRequestHandler {
    private final JobSettings settings;
    private final ConfigurationView configuration;
    private final JobLedger ledger;
    private final WorkerPool pool;
    private final DutyContext context;
    private final UniformRandomProvider random;
    private final Map<JobId, RequestHandle> pendingSubmissions = new HashMap<>();
    private final Map<JobId, List<RequestHandle>> pendingCancellations = new HashMap<>();
    private final Queue<JobId> unproposedCancellations = new ArrayDeque<>();

    JobRequestHandler(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            WorkerPool pool,
            DutyContext context,
            UniformRandomProvider random) {
        this.settings = settings;
        this.configuration = configuration;
        this.ledger = ledger;
        this.pool = pool;
        this.context = context;
        this.random = random;
    }

    /**
     * Checks that a job can run and proposes its acceptance.
     *
     * @throws MarjoramnotchException if the job is refused
     */
    void submit(RequestHandle handle, SubmitJobRequest request) {
        AuthorizedWork work =
                WorkAuthorization.authorize(configuration, request.queue(), request.credential());
        JobValidation.check(work.queue(), request.specification());
        FeasibilityCheck.check(work, request.specification(), pool.capacities());
        if (ledger.queuedCount() + request.specification().tasks()
                > settings.maximumQueuedTasks()) {
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "Too many tasks are queued in this cell; submit the job again later.");
        }
        JobId job = newJobId();
        pendingSubmissions.put(job, handle);
        context.propose(
                new SubmitJob(
                        job,
                        request.request(),
                        request.queue(),
                        work.team().team(),
                        work.key(),
                        request.specification()));
    }

    /**
     * Queues a cancellation. A limited number of cancellations is proposed in each tick.
     *
     * @throws MarjoramnotchException if the job is unknown or the key does not allow it
     */
    void cancel(RequestHandle handle, CancelJobRequest request) {
        JobEntry job = requireAccess(request.job(), request.credential());
        if (job.hasEnded()) {
            context.reply(handle, new JobAnswer(job.status()));
            return;
        }
        cancelLater(job).add(handle);
    }

    /**
     * Queues the cancellation of a job and returns the requests that are answered once it is
     * applied; the caller may add its own.
     */
    List<RequestHandle> cancelLater(JobEntry job) {
        return pendingCancellations.computeIfAbsent(
                job.id,
                id -> {
                    unproposedCancellations.add(id);
                    return new ArrayList<>();
                });
    }

    void proposeCancellations() {
        int left = settings.maximumStopsPerTick();
        while (left > 0 && !unproposedCancellations.isEmpty()) {
            context.propose(new CancelJob(unproposedCancellations.remove()));
            left--;
        }
    }

    void onApplied(SubmitJob command, CommandResult result) {
        RequestHandle handle = pendingSubmissions.remove(command.job());
        if (handle == null) {
            return;
        }
        if (result instanceof CommandResult.JobAccepted accepted) {
            context.reply(handle, new JobAnswer(ledger.requireJob(accepted.job()).status()));
        } else if (result instanceof CommandResult.Rejected rejected) {
            context.refuse(handle, rejected.refusal());
        }
    }

    void onApplied(CancelJob command, CommandResult result) {
        List<RequestHandle> handles = pendingCancellations.remove(command.job());
        if (handles == null) {
            return;
        }
        for (RequestHandle handle : handles) {
            if (result instanceof CommandResult.Rejected rejected) {
                context.refuse(handle, rejected.refusal());
            } else {
                context.reply(handle, new JobAnswer(ledger.requireJob(command.job()).status()));
            }
        }
    }

    /**
     * Returns a job that the key may read and cancel. A job that was submitted without a key is
     * accessible without one: its name is random, so knowing the name is sufficient.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_JOB} or {@code KEY_REFUSED}
     */
    JobEntry requireAccess(JobId id, Optional<Credential> credential) {
        JobEntry job = ledger.requireJob(id);
        if (job.submittedWithKey) {
            TeamName team = WorkAuthorization.requireKey(configuration, credential).team();
            if (!team.equals(job.team)) {
                throw JobIndex.unknownJob(id);
            }
        }
        return job;
    }

    private JobId newJobId() {
        return new JobId("j%016x%016x".formatted(random.nextLong(), random.nextLong()));
    }
}
