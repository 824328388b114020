package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.workflow.FleetWorkerListener;
import org.marjoramnotch.logic.workflow.SimulatedFleetWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/** A worker on a machine of its own, which lets list calls wait until a run ends. */
final class FleetWorkerNode {
    private static final double SLOWEST_CLOCK = 0.98;
    private static final long CLOCK_ORIGIN_MILLISECONDS = 1_000_000;
    private static final long SHORT_RUN_MILLISECONDS = 600;
    private static final long LONG_RUN_MILLISECONDS = 3_500;

    private record WaitingList(ListRuns call, long until, Consumer<CallOutcome> answer) {}

    final FleetNetwork.Machine machine;
    private final MicrosecondTimeline timeline;
    private final long phase;
    private final SimulatedFleetWorker worker;
    private final List<WaitingList> waiting = new ArrayList<>();
    private long reports;

    /** The fraction of calls that are lost, carried out late or left unanswered. */
    double lossShare;

    FleetWorkerNode(
            FleetNetwork.Machine machine,
            FleetSimulation cell,
            ServiceName pool,
            FleetWorkerListener listener) {
        UniformRandomProvider random = cell.random;
        this.machine = machine;
        this.timeline = cell.timeline;
        this.phase = random.nextLong(MILLISECOND);
        this.worker =
                new SimulatedFleetWorker(
                        new FleetWorker(
                                new WorkerIncarnation(new WorkerId(machine.name()), 1),
                                pool,
                                "10.0.0.1:80",
                                new AvailabilityZone("zone-" + machine.zone()),
                                new Resources(4_000, 16_000, 0),
                                List.of("a", "rack-" + machine.zone()),
                                false),
                        random.nextLong(CLOCK_ORIGIN_MILLISECONDS),
                        SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * random.nextDouble(),
                        run -> cell.stepOf(run.task().step()),
                        random,
                        0);
        worker.useRunTimes(step -> runTime(random, step));
        worker.setListener(listener);
        timeline.after(phase, this::tick);
    }

    private static long runTime(UniformRandomProvider random, StepDefinition step) {
        long longest =
                step.estimateMilliseconds() > SHORT_RUN_MILLISECONDS
                        ? LONG_RUN_MILLISECONDS
                        : SHORT_RUN_MILLISECONDS;
        return 100 + random.nextLong(longest);
    }

    WorkerId id() {
        return worker.worker().id();
    }

    SimulatedFleetWorker worker() {
        return worker;
    }

    ReportWorker report() {
        reports++;
        return new ReportWorker(worker.worker(), reports);
    }

    private long now() {
        return (timeline.now() + phase) / MILLISECOND;
    }

    private void tick() {
        worker.advance(now());
        answerWaiting();
        timeline.after(MILLISECOND, this::tick);
    }

    private void answerWaiting() {
        for (WaitingList list : List.copyOf(waiting)) {
            boolean over =
                    now() >= list.until() || worker.hasEndsAfter(list.call().acknowledgedEnds());
            if (over) {
                waiting.remove(list);
                list.answer().accept(worker.handle(now(), list.call()));
            }
        }
    }

    /** Carries out a call; the answer may come later, or never if the call expects none. */
    void handle(WorkerCall call, Optional<Consumer<CallOutcome>> answer) {
        CallOutcome outcome = worker.handle(now(), call);
        if (answer.isEmpty()) {
            return;
        }
        if (call instanceof ListRuns list
                && outcome instanceof CallOutcome.Listed
                && list.waitMilliseconds() > 0
                && !worker.hasEndsAfter(list.acknowledgedEnds())) {
            waiting.add(new WaitingList(list, now() + list.waitMilliseconds(), answer.get()));
        } else {
            answer.get().accept(outcome);
        }
    }
}
