package org.marjoramnotch.logic.job;

import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.AuthorizationLog;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.SubmitJobRequest;

/**
 * Makes the leader's decisions on jobs and workers during one term.
 *
 * <p>It sets itself as the listener of the ledger when it is created; the duty of a later term on
 * the same ledger replaces it. Requests that belong to other duties are ignored.
 */
public final class JobDuty implements LeaderDuty {
    private static final long PARKED_TEAM_RETRY_MILLISECONDS = 250;

    private final JobLedger ledger;
    private final ConfigurationView configuration;
    private final JobDutyComponents components;
    private long nextRetryMilliseconds;

    /**
     * Creates the duty at the start of a term, from the state of the ledger.
     *
     * @param settings the scheduling settings
     * @param configuration the rules in force
     * @param ledger the replicated state, with all entries of earlier terms applied
     * @param usage counts the runs of each team, shared with the other duties
     * @param random generates the names of jobs
     * @param termStartMilliseconds the start of the term, from which leases of earlier leaders
     *     count
     */
    public JobDuty(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds) {
        this(
                settings,
                configuration,
                ledger,
                usage,
                random,
                termStartMilliseconds,
                JobMetricsListener.NONE);
    }

    /**
     * Creates the duty at the start of a term, with a listener that receives metrics of the runs.
     */
    public JobDuty(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds,
            JobMetricsListener metricsListener) {
        this.configuration = configuration;
        this.components =
                new JobDutyComponents(
                        settings,
                        configuration,
                        ledger,
                        usage,
                        random,
                        termStartMilliseconds,
                        metricsListener);
        components.load();
        cancelJobsOfRemovedTeams();
        this.ledger = ledger;
        ledger.setListener(new LedgerIndexUpdater(components));
    }

    @Override
    public void onTermEnd() {
        ledger.setListener(new NoOpJobLedgerListener());
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        components.context.beginCall(nowMilliseconds, output);
        try {
            dispatch(handle, request);
        } catch (MarjoramnotchException exception) {
            if (exception.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw exception;
            }
            AuthorizationLog.logRefusal(request, exception.code(), configuration, output);
            components.context.refuse(handle, exception.refusal());
        }
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        components.context.beginCall(nowMilliseconds, output);
        if (command instanceof StartTasks start) {
            components.placer.onApplied(start, result);
        } else if (command instanceof SubmitJob submit) {
            components.jobRequests.onApplied(submit, result);
        } else if (command instanceof CancelJob cancel) {
            components.jobRequests.onApplied(cancel, result);
        } else if (command instanceof RegisterWorker register) {
            components.workerRequests.onApplied(register, result);
        } else if (command instanceof ChangeConfiguration) {
            cancelJobsOfRemovedTeams();
            components.waiting.retryParked();
        }
        components.workerRequests.afterApplied();
        components.readRequests.answerChanged();
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        components.context.beginCall(nowMilliseconds, output);
        components.context.runDueTimers();
        components.jobRequests.proposeCancellations();
        components.stopNotifier.advance(
                components.settings.maximumStopsPerTick(), components.workerRequests);
        if (nowMilliseconds >= nextRetryMilliseconds) {
            // Other duties may have freed a part of a team's limit; they do not notify this duty.
            components.waiting.retryParked();
            nextRetryMilliseconds = nowMilliseconds + PARKED_TEAM_RETRY_MILLISECONDS;
        }
        components.placer.place(output);
        components.workerRequests.answerWoken();
    }

    /** Returns the waiting and run times of jobs in this term. */
    public JobMetrics metrics() {
        return components.histograms;
    }

    /**
     * Returns how much of the capacity of all workers is in use. Iterates over all workers, so it
     * should not be called in each tick.
     */
    public ResourceUtilization utilization() {
        return components.pool.utilization();
    }

    /**
     * Returns the teams with queued tasks. Iterates over all teams, so it should not be called in
     * each tick.
     */
    public Set<TeamName> waitingTeams() {
        return components.waiting.teams().stream()
                .filter(team -> !team.isEmpty())
                .map(team -> team.name)
                .collect(Collectors.toSet());
    }

    /** Returns the session of a registered worker. */
    WorkerSession session(WorkerId worker) {
        return components.pool.find(worker).orElseThrow();
    }

    private void dispatch(RequestHandle handle, CellRequest request) {
        if (request instanceof RenewWorker renew) {
            components.workerRequests.renew(handle, renew);
        } else if (request instanceof AnnounceWorker announce) {
            components.workerRequests.announce(handle, announce);
        } else if (request instanceof SubmitJobRequest submit) {
            components.jobRequests.submit(handle, submit);
        } else if (request instanceof CancelJobRequest cancel) {
            components.jobRequests.cancel(handle, cancel);
        } else if (request instanceof ReadJob read) {
            JobEntry job = components.jobRequests.requireAccess(read.job(), read.credential());
            components.readRequests.read(handle, read, job);
        }
    }

    /**
     * Cancels the jobs of teams that the rules no longer contain, since none of their tasks could
     * ever start. Runs only at the start of the term and after a change of the rules.
     */
    private void cancelJobsOfRemovedTeams() {
        for (TeamQueue team : components.waiting.teams()) {
            team.jobs()
                    .filter(queued -> configuration.team(queued.job.team).isEmpty())
                    .forEach(queued -> components.jobRequests.cancelLater(queued.job));
        }
    }
}
