package org.marjoramnotch.logic.cell;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.marjoramnotch.logic.job.ResourceUtilization;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.workflow.WorkflowMetrics;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Reports the metrics of the cell once a second; only then does it iterate over all teams and
 * workers.
 */
final class CellMetricsDuty implements LeaderDuty {
    static final long SAMPLE_INTERVAL_MILLISECONDS = 1_000;

    private final Ledger ledger;
    private final Supplier<Set<TeamName>> waitingTeams;
    private final Supplier<ResourceUtilization> utilization;
    private final LongFunction<Optional<WorkflowMetrics>> workflowMetrics;
    private final LeaderMetricsListener listener;
    private final ShareDeviations deviations = new ShareDeviations();
    private long nextSampleMilliseconds;

    /**
     * Creates the duty of one term.
     *
     * @param waiting returns the teams that have waiting work
     * @param workflow returns the metrics of the workflows at a given time
     */
    CellMetricsDuty(
            Ledger ledger,
            Supplier<Set<TeamName>> waiting,
            Supplier<ResourceUtilization> utilization,
            LongFunction<Optional<WorkflowMetrics>> workflow,
            LeaderMetricsListener listener,
            long termStartMilliseconds) {
        this.ledger = ledger;
        this.waitingTeams = waiting;
        this.utilization = utilization;
        this.workflowMetrics = workflow;
        this.listener = listener;
        this.nextSampleMilliseconds = termStartMilliseconds;
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {}

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {}

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        if (nowMilliseconds < nextSampleMilliseconds) {
            return;
        }
        nextSampleMilliseconds = nowMilliseconds + SAMPLE_INTERVAL_MILLISECONDS;
        Collection<TeamRule> rules = ledger.configuration().teams();
        deviations.sample(rules, ledger.usage()::running, waitingTeams.get());
        List<TeamMetrics> teams = rules.stream().map(this::metricsOf).toList();
        listener.onCellMetrics(
                new CellMetrics(teams, utilization.get(), workflowMetrics.apply(nowMilliseconds)));
    }

    private TeamMetrics metricsOf(TeamRule rule) {
        TeamName team = rule.team();
        return new TeamMetrics(
                team, ledger.usage().running(team), rule.upperLimit(), deviations.largest(team));
    }
}
