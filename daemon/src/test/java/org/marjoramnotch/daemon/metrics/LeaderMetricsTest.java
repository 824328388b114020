package org.marjoramnotch.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.cell.AppliedState;
import org.marjoramnotch.logic.cell.CellMetrics;
import org.marjoramnotch.logic.cell.TeamMetrics;
import org.marjoramnotch.logic.job.ResourceUtilization;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.workflow.RunEndSource;
import org.marjoramnotch.logic.workflow.WorkflowMetrics;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class LeaderMetricsTest {
    private static final TeamName TEAM = new TeamName("wards");
    private static final CellMetrics CELL_METRICS =
            new CellMetrics(
                    List.of(new TeamMetrics(TEAM, 3, 64, 0.25)),
                    new ResourceUtilization(
                            new Resources(1500, 2000, 1), new Resources(4000, 8000, 2)),
                    Optional.of(new WorkflowMetrics(245, 240, 7, 5_000, 14_000_000)));

    private static final FleetWorker WORKER =
            new FleetWorker(
                    new WorkerIncarnation(new WorkerId("i-1"), 1),
                    new ServiceName("s"),
                    "10.128.0.9:8080",
                    new AvailabilityZone("austin"),
                    new Resources(16_000, 32_768, 0),
                    List.of(),
                    false);
    private static final RunId RUN =
            new RunId(new WorkflowTaskId(new StepId(new JobId("0123456789abcdef"), 0, 0), 0), 1);

    private final DaemonMetrics metrics = new DaemonMetrics(() -> Map.of("run_ended", 7L));
    private final LeaderMetrics leader = metrics.leader();

    @Test
    void decisionsAreCountedByEventAndResult() {
        metrics.countDecision(
                DecisionLogEntry.of("run_ended", "run", "w.0.0.1/1", "outcome", "DONE"));
        metrics.countDecision(
                DecisionLogEntry.of("run_ended", "run", "w.0.0.2/1", "outcome", "DONE"));
        metrics.countDecision(DecisionLogEntry.of("worker_dismissed", "worker", "w-1"));
        metrics.countDecision(
                DecisionLogEntry.of("workflow_refused", "wait_ms", 9, "waits_for", "room"));

        assertThat(text())
                .contains(
                        "marjoramnotch_decisions_total{event=\"run_ended\",result=\"done\"} 2",
                        "marjoramnotch_decisions_total{event=\"workflow_refused\",result=\"room\"}"
                                + " 1",
                        "marjoramnotch_decisions_total{event=\"worker_dismissed\",result=\"\"} 1");
    }

    @Test
    void requestsToTheCellAreTimedByTypeAndCode() {
        metrics.recordCellRequest(new ReadConfiguration(), new Done(), 30);
        metrics.recordCellRequest(
                new ReadConfiguration(),
                new Refused(Refusal.notRun(ErrorCode.NO_LEADER, "none")),
                900);
        String name = "marjoramnotch_cell_request_seconds_count";

        assertThat(text())
                .contains(
                        name + "{code=\"\",request=\"ReadConfiguration\"} 1",
                        name + "{code=\"NO_LEADER\",request=\"ReadConfiguration\"} 1");
    }

    @Test
    void callsToWorkersAreCountedByKindAndOutcome() {
        WorkerCall call = new StopRun(1, WORKER, 1, RUN);
        metrics.replica().countWorkerCall(call, new CallOutcome.Unanswered(1));
        metrics.replica().countWorkerCall(call, new CallOutcome.Accepted(1, OptionalLong.empty()));
        metrics.replica()
                .countWorkerCall(
                        call,
                        new CallOutcome.Rejected(
                                1, OptionalLong.empty(), RejectionReason.LEASE_OVER));
        metrics.replica().recordInputDelay(30);
        String calls = "marjoramnotch_worker_calls_total{call=\"StopRun\",outcome=";

        assertThat(text())
                .contains(
                        calls + "\"unanswered\"} 1",
                        calls + "\"accepted\"} 1",
                        calls + "\"lease_over\"} 1",
                        "marjoramnotch_replica_input_delay_seconds_bucket{le=\"0.025\"} 0",
                        "marjoramnotch_replica_input_delay_seconds_bucket{le=\"0.1\"} 1");
    }

    @Test
    void configurationIsMeasuredAtTheReplicaAndAtRefusals() {
        metrics.replica()
                .setAppliedState(
                        new AppliedState(70, 0, OptionalLong.of(12), OptionalLong.of(1_000), 4));
        metrics.replica().recordConfigurationAge(30);
        metrics.countRefusedConfiguration(ErrorCode.INVALID_RULES);
        leader.onCallRefused(ErrorCode.KEY_REFUSED, 700);
        String age = "marjoramnotch_call_refused_version_age_seconds_bucket{code=\"KEY_REFUSED\",";

        assertThat(text())
                .contains(
                        "marjoramnotch_configuration_version 12.0",
                        "marjoramnotch_rules_version 4.0",
                        "marjoramnotch_applied_index 70.0",
                        "marjoramnotch_configuration_apply_age_seconds_bucket{le=\"0.1\"} 1",
                        "marjoramnotch_refused_configurations_total{code=\"INVALID_RULES\"} 1",
                        age + "le=\"0.5\"} 0",
                        age + "le=\"1.0\"} 1");
    }

    @Test
    void timesAreRecordedForEachTeamAndClass() {
        leader.onGranted(TEAM, true, 20);
        leader.onGranted(TEAM, false, 30);
        leader.onFeedGranted(TEAM, 40);
        leader.onRunStarted(TEAM, QueuePolicy.GANG, 2_000);
        leader.onEnded(TEAM, 100);
        leader.onFeedEnded(TEAM, 100);
        leader.onRunEnded(TEAM, QueuePolicy.GANG, 61_000);
        leader.onRefused(TEAM, ErrorCode.TEAM_AT_LIMIT);

        assertThat(text())
                .contains(
                        waiting("bucket{class=\"urgent\",team=\"wards\",le=\"0.005\"} 0"),
                        waiting("bucket{class=\"urgent\",team=\"wards\",le=\"0.025\"} 1"),
                        waiting("count{class=\"quick\",team=\"wards\"} 1"),
                        waiting("count{class=\"feed\",team=\"wards\"} 1"),
                        waiting("sum{class=\"gang\",team=\"wards\"} 2.0"),
                        running("count{class=\"quick\",team=\"wards\"} 1"),
                        running("count{class=\"feed\",team=\"wards\"} 1"),
                        running("sum{class=\"gang\",team=\"wards\"} 61.0"),
                        "refusals_total{code=\"TEAM_AT_LIMIT\",team=\"wards\"} 1.0");
    }

    @Test
    void endsOfRunsAreCountedBySourceAndEffect() {
        leader.onEndApplied(RunEndSource.LIST, RunEndEffect.ENDED);
        leader.onEndApplied(RunEndSource.LIST, RunEndEffect.ENDED);
        leader.onEndApplied(RunEndSource.LEASE_OVER, RunEndEffect.LATER_RUN);
        leader.onUncountedEndAcknowledged(RunEndEffect.ALREADY_ENDED);
        leader.onStartGivenUp();
        leader.onTeamAboveShare(TEAM);
        String ends = "marjoramnotch_leader_run_ends_total{effect=";

        assertThat(text())
                .contains(
                        ends + "\"ended\",source=\"list\"} 2.0",
                        ends + "\"later_run\",source=\"lease_over\"} 1.0",
                        "marjoramnotch_leader_uncounted_ends_total{reason=\"already_ended\"} 1.0",
                        "marjoramnotch_leader_above_share_seconds_total{team=\"wards\"} 1.0",
                        "marjoramnotch_leader_starts_given_up_total 1.0");
    }

    @Test
    void histogramHasElevenLines() {
        leader.onEnded(TEAM, 100);

        assertThat(text().lines().filter(line -> line.startsWith(running("")))).hasSize(11);
    }

    @Test
    void teamsBeyondTheLimitShareOneLabel() {
        for (int team = 0; team < LeaderMetrics.MAXIMUM_TEAM_LABELS + 2; team++) {
            leader.onEnded(new TeamName("t" + team), 1);
            leader.onEnded(new TeamName("t" + team), 1);
        }

        List<String> counts =
                text().lines().filter(line -> line.startsWith(running("count{"))).toList();
        assertThat(counts)
                .hasSize(LeaderMetrics.MAXIMUM_TEAM_LABELS + 1)
                .contains(running("count{class=\"quick\",team=\"other-teams\"} 4"));
    }

    @Test
    void cellStateIsExportedByTheLeaderOnly() {
        leader.onCellMetrics(CELL_METRICS);
        assertThat(text()).doesNotContain("_term ", "team_running{");

        leader.gauges().onStatus(Optional.of(status(false)));
        assertThat(text())
                .contains("marjoramnotch_leading 0.0", "_term 4.0", "_commit_index 70.0")
                .doesNotContain("team_running{");

        leader.gauges().onStatus(Optional.of(status(true)));
        assertThat(text())
                .contains(
                        "marjoramnotch_leading 1.0",
                        "marjoramnotch_team_running{team=\"wards\"} 3.0",
                        "marjoramnotch_team_upper_limit{team=\"wards\"} 64.0",
                        "marjoramnotch_team_share_distance_ratio{team=\"wards\"} 0.25",
                        "marjoramnotch_workers_used{resource=\"processor_millis\"} 1500.0",
                        "marjoramnotch_workers_capacity{resource=\"memory_megabytes\"} 8000.0",
                        "marjoramnotch_workers_capacity{resource=\"accelerators\"} 2.0",
                        "marjoramnotch_workers_known 245.0",
                        "marjoramnotch_workers_usable 240.0",
                        "marjoramnotch_advice_questions_waiting 7.0",
                        "marjoramnotch_held_bytes 5000.0",
                        "marjoramnotch_held_limit_bytes 1.4E7",
                        "marjoramnotch_log_lines_dropped_total{event=\"run_ended\"} 7.0");
    }

    @Test
    void operationsPageListsExactlyTheExportedMetrics() throws IOException {
        timesAreRecordedForEachTeamAndClass();
        endsOfRunsAreCountedBySourceAndEffect();
        configurationIsMeasuredAtTheReplicaAndAtRefusals();
        metrics.countDecision(DecisionLogEntry.of("worker_dismissed", "worker", "w-1"));
        metrics.recordCellRequest(new ReadConfiguration(), new Done(), 30);
        callsToWorkersAreCountedByKindAndOutcome();
        metrics.recordWaitTime(TEAM, "quick", 1);
        metrics.recordTotalTime(TEAM, "quick", 1);
        metrics.countRefusal(ErrorCode.OVERLOADED);
        metrics.countClientRefusal("header_lines");
        metrics.count(CountedEvent.LINK_REPLACED);
        leader.onCellMetrics(CELL_METRICS);
        leader.gauges().onStatus(Optional.of(status(true)));

        List<String> rows =
                Files.readAllLines(Path.of("..", "docs", "OPERATIONS.md")).stream()
                        .filter(line -> line.startsWith("| marjoramnotch_"))
                        .map(line -> line.split(" ")[1])
                        .toList();

        assertThat(rows)
                .containsExactlyInAnyOrderElementsOf(
                        text().lines()
                                .filter(line -> line.startsWith("# HELP "))
                                .map(line -> line.split(" ")[2])
                                .collect(Collectors.toSet()));
    }

    private static ReplicationStatus status(boolean leading) {
        ReplicaId self = new ReplicaId(new VmId("vm-1"), "d1");
        return new ReplicationStatus(
                self, leading, leading, Optional.empty(), 4, 70, 1, List.of(self), List.of());
    }

    private static String waiting(String rest) {
        return "marjoramnotch_leader_waiting_seconds_" + rest;
    }

    private static String running(String rest) {
        return "marjoramnotch_leader_running_seconds_" + rest;
    }

    private String text() {
        return new String(metrics.prometheusText(), StandardCharsets.UTF_8);
    }
}
