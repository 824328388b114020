package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** A ledger in which runs are recorded as over before a list shows that they failed. */
abstract class LateFailureTestCase {
    static final JobId ID = new JobId("0123456789abcdef");
    static final StepId STEP = new StepId(ID, 0, 0);
    static final int MOST_FAILURES = 2;
    static final FleetWorker FIRST = worker("w-1", 1);
    static final FleetWorker NEXT = worker("w-1", 2);
    static final FleetWorker OTHER = worker("w-2", 1);

    WorkflowLedger ledger = new WorkflowLedger();

    /** How the first run was recorded as over. */
    enum GivenUp {
        NEXT_LIFE(true) {
            @Override
            void apply(WorkflowLedger ledger, List<RunId> runs) {
                ledger.apply(new EnrollWorker(NEXT));
            }
        },
        DISMISSAL(true) {
            @Override
            void apply(WorkflowLedger ledger, List<RunId> runs) {
                ledger.apply(new DismissWorker(FIRST.incarnation()));
                ledger.apply(new EnrollWorker(NEXT));
            }
        },
        NOT_STARTED(true) {
            @Override
            void apply(WorkflowLedger ledger, List<RunId> runs) {
                end(ledger, FIRST, runs, RunOutcome.NOT_STARTED);
                ledger.apply(new EnrollWorker(NEXT));
            }
        },
        LEASE_OF_THE_EARLIER_LIFE(true) {
            @Override
            void apply(WorkflowLedger ledger, List<RunId> runs) {
                end(ledger, FIRST, runs, RunOutcome.LAPSED);
                ledger.apply(new EnrollWorker(NEXT));
            }
        },
        /** The worker that lists the end held no lease in between, so that it doesn't count. */
        LEASE_OF_THE_LISTING_LIFE(false) {
            @Override
            void apply(WorkflowLedger ledger, List<RunId> runs) {
                end(ledger, FIRST, runs, RunOutcome.LAPSED);
            }

            @Override
            FleetWorker lister() {
                return FIRST;
            }
        };

        final boolean counts;

        GivenUp(boolean counts) {
            this.counts = counts;
        }

        abstract void apply(WorkflowLedger ledger, List<RunId> runs);

        FleetWorker lister() {
            return NEXT;
        }
    }

    static FleetWorker worker(String name, long started) {
        return new FleetWorker(
                new WorkerIncarnation(new WorkerId(name), started),
                WorkflowCell.POOL,
                "10.0.0.1:80",
                new AvailabilityZone("zone"),
                new Resources(8_000, 16_000, 0),
                List.of("a", "rack-1"),
                false);
    }

    static List<RunId> runs(long number, int tasks) {
        return IntStream.range(0, tasks)
                .mapToObj(index -> new RunId(new WorkflowTaskId(STEP, index), number))
                .toList();
    }

    static void end(
            WorkflowLedger ledger, FleetWorker worker, List<RunId> runs, RunOutcome outcome) {
        ledger.apply(
                new EndRuns(
                        worker.incarnation(),
                        runs.stream().map(run -> new RunEnd(run, outcome, "")).toList()));
    }

    void start(FleetWorker worker, long number, int tasks) {
        ledger.apply(
                new StartRuns(
                        runs(number, tasks).stream()
                                .map(run -> new RunPlacement(run, worker.incarnation(), ""))
                                .toList()));
    }

    void submit(StepDefinition.Builder step) {
        ledger.apply(
                new ReplaceConfiguration(
                        TestFleet.withMostFailures(TestFleet.configuration(1), MOST_FAILURES), 0));
        ledger.apply(new EnrollWorker(FIRST));
        ledger.apply(new EnrollWorker(OTHER));
        ledger.apply(
                new SubmitWorkflow(
                        new Workflow(
                                ID,
                                new QueueName("quick"),
                                Optional.empty(),
                                "payload",
                                List.of(step.demand(new Resources(100, 100, 0)).build()),
                                Optional.empty(),
                                0)));
    }

    void restoreFromSnapshot() {
        WorkflowLedger restored = new WorkflowLedger();
        restored.restore(ledger.snapshot());
        ledger = restored;
    }

    WorkflowState state() {
        return ledger.workflow(ID).orElseThrow().state();
    }
}
