package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

class JobMetricsTest {
    private static final Resources TASK = new Resources(1_500, 2_000, 1);
    private static final Resources WORKER = new Resources(4_000, 8_000, 2);

    private final JobEntry job =
            new JobEntry(
                    new JobId("j"),
                    1,
                    new QueueName("bundles"),
                    new TeamName("wards"),
                    QueuePolicy.BATCH,
                    Repetition.ONCE,
                    new JobSpecification("bundle", 2, TASK, 1_000, false, "payload"));

    @Test
    void runsAreReportedWithTeamAndPolicy() {
        List<String> reported = new ArrayList<>();
        JobHistograms histograms =
                new JobHistograms(
                        new JobMetricsListener() {
                            @Override
                            public void onRunStarted(
                                    TeamName team, QueuePolicy policy, long waitedMilliseconds) {
                                reported.add(team + " " + policy + " " + waitedMilliseconds);
                            }

                            @Override
                            public void onRunEnded(
                                    TeamName team, QueuePolicy policy, long ranMilliseconds) {
                                reported.add(team + " " + policy + " ran " + ranMilliseconds);
                            }
                        });

        histograms.recordWaitingTime(job, -5);
        histograms.recordRunTime(job, 70);

        assertThat(reported).containsExactly("wards BATCH 0", "wards BATCH ran 70");
    }

    @Test
    void utilizationCountsResourcesHeldByRuns() {
        WorkerPool pool = new WorkerPool();
        assertThat(pool.utilization())
                .isEqualTo(new ResourceUtilization(Resources.NONE, Resources.NONE));
        WorkerEntry first = add(pool, "w1");
        WorkerEntry second = add(pool, "w2");
        first.add(job.tasks[0]);
        second.add(job.tasks[1]);
        assertThat(pool.utilization())
                .isEqualTo(new ResourceUtilization(TASK.plus(TASK), WORKER.plus(WORKER)));

        first.remove(job.tasks[0]);

        assertThat(pool.utilization())
                .isEqualTo(new ResourceUtilization(TASK, WORKER.plus(WORKER)));
    }

    private static WorkerEntry add(WorkerPool pool, String name) {
        WorkerEntry entry =
                new WorkerEntry(
                        new WorkerDescription(
                                new WorkerId(name),
                                WORKER,
                                new AvailabilityZone("zone-a"),
                                new RackName("rack-1")),
                        1);
        pool.add(new WorkerSession(entry, 0));
        return entry;
    }
}
