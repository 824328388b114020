package org.marjoramnotch.logic.cell;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.ConfigurationDuty;
import org.marjoramnotch.logic.job.JobDuty;
import org.marjoramnotch.logic.job.JobMetricsListener;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.placement.PlacementDuty;
import org.marjoramnotch.logic.placement.PlacementMetricsListener;
import org.marjoramnotch.logic.placement.PlacementPolicy;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.workflow.ConfigurationMetricsListener;
import org.marjoramnotch.logic.workflow.RunMetricsListener;
import org.marjoramnotch.logic.workflow.WorkflowDuty;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Creates the standard duties of a leader.
 *
 * @param placementSettings settings of quick requests and feeds
 * @param jobSettings settings of jobs
 * @param random the source of random job names and of the random order among equals
 * @param workflow settings of workflows, if the cell serves them
 * @param metricsListener receives the metrics of the duties, if present
 */
public record StandardLeaderDutyFactory(
        PlacementSettings placementSettings,
        JobSettings jobSettings,
        UniformRandomProvider random,
        Optional<WorkflowDutySettings> workflow,
        Optional<LeaderMetricsListener> metricsListener)
        implements LeaderDutyFactory {
    /** Creates a factory without workflows and without a metrics listener. */
    public StandardLeaderDutyFactory(
            PlacementSettings placementSettings,
            JobSettings jobSettings,
            UniformRandomProvider random) {
        this(placementSettings, jobSettings, random, Optional.empty(), Optional.empty());
    }

    @Override
    public LeaderDutyFactory withMetricsListener(LeaderMetricsListener newListener) {
        return new StandardLeaderDutyFactory(
                placementSettings, jobSettings, random, workflow, Optional.of(newListener));
    }

    @Override
    public LeaderDuty createAll(Ledger ledger, long termStartMilliseconds) {
        return createAll(ledger, termStartMilliseconds, 0);
    }

    @Override
    public LeaderDuty createAll(Ledger ledger, long termStartMilliseconds, long fencingToken) {
        PlacementDuty placement = createPlacement(ledger, termStartMilliseconds);
        JobDuty job = createJob(ledger, termStartMilliseconds);
        Optional<WorkflowDuty> workflows =
                workflow.map(
                        workflowSettings ->
                                new WorkflowDuty(
                                        workflowSettings.settings(),
                                        ledger.workflow(),
                                        workflowSettings.wallClock(),
                                        fencingToken,
                                        termStartMilliseconds,
                                        metricsListener
                                                .<ConfigurationMetricsListener>map(
                                                        listener -> listener)
                                                .orElse(ConfigurationMetricsListener.NONE),
                                        metricsListener
                                                .<RunMetricsListener>map(listener -> listener)
                                                .orElse(RunMetricsListener.NONE)));
        Optional<LeaderDuty> observer =
                metricsListener.map(
                        listener ->
                                new CellMetricsDuty(
                                        ledger,
                                        () -> waitingTeams(placement, job),
                                        job::utilization,
                                        now -> workflows.map(duty -> duty.metrics(now)),
                                        listener,
                                        termStartMilliseconds));
        return new CompositeLeaderDuty(
                createConfiguration(ledger, termStartMilliseconds),
                placement,
                job,
                workflows.map(duty -> duty),
                observer);
    }

    private static Set<TeamName> waitingTeams(PlacementDuty placement, JobDuty job) {
        Set<TeamName> waiting = new HashSet<>(placement.waitingTeams());
        waiting.addAll(job.waitingTeams());
        return waiting;
    }

    @Override
    public LeaderDuty createConfiguration(Ledger ledger, long termStartMilliseconds) {
        return new ConfigurationDuty(ledger.configuration());
    }

    @Override
    public PlacementDuty createPlacement(Ledger ledger, long termStartMilliseconds) {
        return new PlacementDuty(
                placementSettings,
                ledger.configuration(),
                ledger.placement(),
                ledger.usage(),
                termStartMilliseconds,
                PlacementPolicy.FAIR,
                metricsListener
                        .<PlacementMetricsListener>map(listener -> listener)
                        .orElse(PlacementMetricsListener.NONE));
    }

    @Override
    public JobDuty createJob(Ledger ledger, long termStartMilliseconds) {
        return new JobDuty(
                jobSettings,
                ledger.configuration(),
                ledger.job(),
                ledger.usage(),
                random,
                termStartMilliseconds,
                metricsListener
                        .<JobMetricsListener>map(listener -> listener)
                        .orElse(JobMetricsListener.NONE));
    }
}
