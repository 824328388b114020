package org.marjoramnotch.logic.job;

import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
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
 * A leader's decisions on jobs and workers during one term.
 *
 * <p>It listens to the ledger from its construction on; the duty of a later term on the same ledger
 * takes its place. Requests of other duties are ignored.
 */
public final class JobDuty implements LeaderDuty {
    private static final long PARKED_TEAM_RETRY_MILLISECONDS = 250;

    private final JobLedger ledger;
    private final ConfigurationView configuration;
    private final JobDutyComponents components;
    private long nextRetryMilliseconds;

    /**
     * Takes over the ledger as a term begins.
     *
     * @param settings settings of the decisions
     * @param configuration the rules in force
     * @param ledger the agreed state, with all entries of earlier terms applied
     * @param usage what each team runs, shared with the other duties
     * @param random names jobs
     * @param termStartMilliseconds leases of earlier leaders count from here
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

    /** Takes over the ledger as a term begins, and reports runs to the measures. */
    public JobDuty(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds,
            JobMetricsListener measures) {
        this.configuration = configuration;
        this.components =
                new JobDutyComponents(
                        settings,
                        configuration,
                        ledger,
                        usage,
                        random,
                        termStartMilliseconds,
                        measures);
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
            components.jobs.onApplied(submit, result);
        } else if (command instanceof CancelJob cancel) {
            components.jobs.onApplied(cancel, result);
        } else if (command instanceof RegisterWorker register) {
            components.workers.onApplied(register, result);
        } else if (command instanceof ChangeConfiguration) {
            cancelJobsOfRemovedTeams();
            components.waiting.retryParked();
        }
        components.workers.afterApplied();
        components.readers.answerChanged();
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        components.context.beginCall(nowMilliseconds, output);
        components.context.runDueTimers();
        components.jobs.proposeCancellations();
        components.stopNotifier.advance(
                components.settings.maximumStopsPerTick(), components.workers);
        if (nowMilliseconds >= nextRetryMilliseconds) {
            // Limits may have room again through the other duties, which do not tell.
            components.waiting.retryParked();
            nextRetryMilliseconds = nowMilliseconds + PARKED_TEAM_RETRY_MILLISECONDS;
        }
        components.placer.place(output);
        components.workers.answerWoken();
    }

    /** Returns what jobs waited and ran in this term. */
    public JobMetrics metrics() {
        return components.histograms;
    }

    /** Returns what runs hold of all workers; walks the workers, so not to be asked each tick. */
    public ResourceUtilization utilization() {
        return components.pool.utilization();
    }

    /** Returns the teams with queued tasks; walks the teams, so not to be asked each tick. */
    public Set<TeamName> waitingTeams() {
        return components.waiting.teams().stream()
                .filter(team -> !team.isEmpty())
                .map(team -> team.name)
                .collect(Collectors.toSet());
    }

    /** Returns what is known of a registered worker. */
    WorkerSession session(WorkerId worker) {
        return components.pool.find(worker).orElseThrow();
    }

    private void dispatch(RequestHandle handle, CellRequest request) {
        if (request instanceof RenewWorker renew) {
            components.workers.renew(handle, renew);
        } else if (request instanceof AnnounceWorker announce) {
            components.workers.announce(handle, announce);
        } else if (request instanceof SubmitJobRequest submit) {
            components.jobs.submit(handle, submit);
        } else if (request instanceof CancelJobRequest cancel) {
            components.jobs.cancel(handle, cancel);
        } else if (request instanceof ReadJob read) {
            JobEntry job = components.jobs.requireAccess(read.job(), read.credential());
            components.readers.read(handle, read, job);
        }
    }

    /** Runs once for a change of the rules; no further task of such jobs could ever start. */
    private void cancelJobsOfRemovedTeams() {
        for (TeamQueue team : components.waiting.teams()) {
            team.jobs()
                    .filter(queued -> configuration.team(queued.job.team).isEmpty())
                    .forEach(queued -> components.jobs.cancelLater(queued.job));
        }
    }
}
