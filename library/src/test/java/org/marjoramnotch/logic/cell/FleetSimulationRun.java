package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.workflow.TestFleet;
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

    private final long seed;
    private final FleetSimulation cell;
    private final UniformRandomProvider random;
    private boolean loaded = true;
    private int workflows;

    FleetSimulationRun(long seed, boolean traced) {
        this.seed = seed;
        this.cell = new FleetSimulation(seed, seed % 2 == 0 ? 3 : 5, 6, traced);
        this.random = cell.random;
    }

    /** Runs the simulation and returns it. */
    FleetSimulation run() {
        submitLater(CALM_MILLISECONDS / 2);
        cell.run(CALM_MILLISECONDS);
        FleetFaultInjector faults = new FleetFaultInjector(cell);
        faults.begin();
        cell.run(FAULTS_MILLISECONDS);
        faults.end();
        loaded = false;
        cell.run(RECOVERY_MILLISECONDS);
        return cell;
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
        cell.register(id, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
        if (random.nextInt(20) == 0) {
            cell.timeline.after(
                    random.nextLong(3_000) * MicrosecondTimeline.MILLISECOND,
                    () -> cell.request(new CancelWorkflowRequest(TestFleet.target(id))));
        }
    }

    private WorkflowDraft draft() {
        List<StepDefinition> steps = new ArrayList<>();
        int count = 1 + random.nextInt(2);
        for (int step = 0; step < count; step++) {
            steps.add(
                    StepDefinition.builder()
                            .tasks(1 + random.nextInt(4))
                            .demand(new Resources(300 + random.nextInt(900), 100, 0))
                            .estimateMilliseconds(random.nextInt(6) == 0 ? 2_000 : 400)
                            .after(step == 0 ? List.of() : List.of(step - 1))
                            .build());
        }
        return new WorkflowDraft("payload", steps, Optional.empty());
    }
}
