package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.workflow.SimulatedFleetWorker;
import org.marjoramnotch.logic.workflow.TestFleet;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** One run of a simulated fleet under load and faults. */
final class FleetSimulationRun {
    private static final long CALM_MILLISECONDS = 2_200;
    private static final long FAULTS_MILLISECONDS = 10_000;

    /** Outlasts the latest call that is carried out late. */
    private static final long RECOVERY_MILLISECONDS = 13_000;

    /** Longest time without a run that is allowed for a task with room. */
    private static final long PROBE_MILLISECONDS = 3_000;

    private static final long PROBE_ESTIMATE_MILLISECONDS = 20_000;
    private static final long PROBE_WORKFLOWS = 1L << 40;
    private static final int FEW_FAILURES = 2;
    private static final int BACKGROUND_TASKS = 8;
    private static final long BACKGROUND_MILLISECONDS = 4_000;

    /** The faults that a run meets, and its work. */
    enum Scenario {
        /** Faults that are over before the next one of the same worker. */
        SINGLE_FAULTS(FleetFault.single(), 0, TestFleet.configuration(1)),
        /** Faults that follow one another on a worker, and tasks that fail each time. */
        SUCCESSIVE_FAULTS(
                FleetFault.successive(),
                4,
                TestFleet.withMostFailures(TestFleet.configuration(1), FEW_FAILURES)),
        /** Single faults while work of lower priority fills the workers. */
        PREEMPTION(FleetFault.single(), 0, TestFleet.configuration(1)),
        /** Workers whose announcements of their ends arrive when they have started again. */
        DEPARTURES(FleetFault.departures(), 0, TestFleet.configuration(1));

        private final List<FleetFault> faults;
        private final int failingWorkflows;
        private final FleetConfiguration configuration;

        /**
         * Creates a scenario.
         *
         * @param failingWorkflows one of how many workflows fails; 0 for none
         */
        Scenario(List<FleetFault> faults, int failingWorkflows, FleetConfiguration configuration) {
            this.faults = faults;
            this.failingWorkflows = failingWorkflows;
            this.configuration = configuration;
        }
    }

    private final long seed;
    private final Scenario scenario;
    private final FleetSimulation cell;
    private final UniformRandomProvider random;
    private boolean loaded = true;
    private int workflows;

    FleetSimulationRun(long seed, boolean traced) {
        this(seed, Scenario.SINGLE_FAULTS, traced);
    }

    FleetSimulationRun(long seed, Scenario scenario, boolean traced) {
        this.seed = seed;
        this.scenario = scenario;
        int replicas = seed % 2 == 0 ? 3 : 5;
        this.cell = new FleetSimulation(seed, replicas, 6, traced, scenario.configuration);
        this.random = cell.random;
    }

    /** Runs the simulation and returns it. */
    FleetSimulation run() {
        submitLater(CALM_MILLISECONDS / 2);
        cell.run(CALM_MILLISECONDS);
        FleetFaultInjector faults = new FleetFaultInjector(cell, scenario.faults);
        faults.begin();
        cell.run(FAULTS_MILLISECONDS);
        faults.end();
        loaded = false;
        cell.run(RECOVERY_MILLISECONDS);
        return cell;
    }

    /**
     * Returns the workers that are ready and on which a task that only they can run has not begun
     * in time.
     */
    List<String> findIdleWorkers() {
        for (int index = 0; index < cell.workers.size(); index++) {
            submitProbe(PROBE_WORKFLOWS + index, cell.workers.get(index).id().value());
        }
        cell.run(PROBE_MILLISECONDS);
        return cell.workers.stream()
                .filter(worker -> !worker.worker().orElseThrow().worker().draining())
                .filter(worker -> worker.worker().orElseThrow().live().isEmpty())
                .map(worker -> worker.id().value())
                .toList();
    }

    private void submitProbe(long number, String worker) {
        StepDefinition step =
                StepDefinition.builder()
                        .demand(new Resources(300, 100, 0))
                        .estimateMilliseconds(PROBE_ESTIMATE_MILLISECONDS)
                        .requiredLabel(Optional.of(worker))
                        .build();
        String id = "%016x".formatted(number);
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step), Optional.empty());
        cell.register(id, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
    }

    private void submitLater(long milliseconds) {
        cell.timeline.after(
                milliseconds * MicrosecondTimeline.MILLISECOND,
                () -> {
                    if (loaded) {
                        submit();
                        submitLater(20 + random.nextInt(300));
                    }
                });
    }

    private void submit() {
        String id = "%016x".formatted(seed * 1_000 + workflows);
        workflows++;
        WorkflowDraft draft = draft();
        if (scenario == Scenario.PREEMPTION && random.nextBoolean()) {
            submitBackground(id);
            return;
        }
        cell.register(id, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
        if (random.nextInt(20) == 0) {
            cell.timeline.after(
                    random.nextLong(3_000) * MicrosecondTimeline.MILLISECOND,
                    () -> cell.request(new CancelWorkflowRequest(TestFleet.target(id))));
        }
    }

    private void submitBackground(String id) {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(BACKGROUND_TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(BACKGROUND_MILLISECONDS)
                        .checkpointing(true)
                        .build();
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step), Optional.empty());
        cell.register(id, draft);
        CallTarget open = new CallTarget("callers.example", "/open/" + id, Optional.empty());
        cell.request(new SubmitWorkflowRequest(open, draft));
    }

    private boolean isLong() {
        // Only long steps have the slack for a stop of the assumed time.
        return scenario == Scenario.PREEMPTION || random.nextInt(6) == 0;
    }

    private WorkflowDraft draft() {
        List<StepDefinition> steps = new ArrayList<>();
        int count = 1 + random.nextInt(2);
        boolean fails =
                scenario.failingWorkflows > 0 && random.nextInt(scenario.failingWorkflows) == 0;
        for (int step = 0; step < count; step++) {
            steps.add(
                    StepDefinition.builder()
                            .tasks(1 + random.nextInt(4))
                            .demand(new Resources(300 + random.nextInt(900), 100, 0))
                            .estimateMilliseconds(isLong() ? 2_000 : 400)
                            .after(step == 0 ? List.of() : List.of(step - 1))
                            .image(fails ? SimulatedFleetWorker.FAILING_IMAGE : "")
                            .build());
        }
        return new WorkflowDraft("payload", steps, Optional.empty());
    }
}
