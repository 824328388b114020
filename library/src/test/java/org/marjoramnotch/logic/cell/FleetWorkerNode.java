package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
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

    /** Runs with an estimate from this on last as long as it says. */
    private static final long EXACT_ESTIMATE_MILLISECONDS = 10_000;

    private record WaitingList(ListRuns call, long until, Consumer<CallOutcome> answer) {}

    final FleetNetwork.Machine machine;
    private final FleetSimulation cell;
    private final ServiceName pool;
    private final long phase;
    private final List<WaitingList> waiting = new ArrayList<>();
    private @Nullable SimulatedFleetWorker worker;
    private long clockStartsAt;
    private int lives;
    private long reports;

    /** The fraction of calls that are lost, carried out late or left unanswered. */
    double lossShare;

    /** When reports arrive again, in microseconds. */
    long reportsLostUntil;

    FleetWorkerNode(FleetNetwork.Machine machine, FleetSimulation cell, ServiceName pool) {
        this.machine = machine;
        this.cell = cell;
        this.pool = pool;
        this.phase = cell.random.nextLong(MILLISECOND);
        start();
        cell.timeline.after(phase, this::tick);
    }

    /** Begins a life of the worker, which knows nothing of earlier ones. */
    void start() {
        UniformRandomProvider random = cell.random;
        lives++;
        clockStartsAt = now();
        reports = 0;
        SimulatedFleetWorker started =
                new SimulatedFleetWorker(
                        new FleetWorker(
                                new WorkerIncarnation(id(), FleetSimulation.EPOCH + now()),
                                pool,
                                "10.0.0.1:80",
                                new AvailabilityZone("zone-" + machine.zone()),
                                new Resources(4_000, 16_000, 0),
                                List.of("a", machine.name(), "rack-" + machine.zone()),
                                false),
                        random.nextBoolean() ? 0 : random.nextLong(CLOCK_ORIGIN_MILLISECONDS),
                        SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * random.nextDouble(),
                        run -> cell.stepOf(run.task().step()),
                        random,
                        0);
        started.useRunTimes(step -> runTime(random, step));
        started.setListener(cell.checker.listenerOf(lifeName()));
        worker = started;
    }

    /** Ends the worker with all that runs on it. */
    void crash() {
        worker = null;
        if (cell.random.nextBoolean()) {
            waiting.forEach(
                    list -> list.answer().accept(new CallOutcome.Unanswered(list.call().id())));
        }
        waiting.clear();
        cell.checker.onCrash(lifeName());
    }

    private String lifeName() {
        return machine.name() + "#" + lives;
    }

    private static long runTime(UniformRandomProvider random, StepDefinition step) {
        if (step.estimateMilliseconds() >= EXACT_ESTIMATE_MILLISECONDS) {
            return step.estimateMilliseconds();
        }
        long longest =
                step.estimateMilliseconds() > SHORT_RUN_MILLISECONDS
                        ? LONG_RUN_MILLISECONDS
                        : SHORT_RUN_MILLISECONDS;
        return 100 + random.nextLong(longest);
    }

    void drain() {
        worker().ifPresent(SimulatedFleetWorker::drain);
    }

    /** Returns when the present life began, for the announcement of its end. */
    OptionalLong started() {
        return worker().stream()
                .mapToLong(present -> present.worker().incarnation().startedEpochMilliseconds())
                .findFirst();
    }

    WorkerId id() {
        return new WorkerId(machine.name());
    }

    /** Returns the present life of the worker, if it is up. */
    Optional<SimulatedFleetWorker> worker() {
        return Optional.ofNullable(worker);
    }

    Optional<ReportWorker> report() {
        reports++;
        if (cell.timeline.now() < reportsLostUntil) {
            return Optional.empty();
        }
        return worker().map(present -> new ReportWorker(present.worker(), reports));
    }

    private long now() {
        return (cell.timeline.now() + phase) / MILLISECOND;
    }

    /** Returns the time since the life began, which the worker's clock counts. */
    private long age() {
        return now() - clockStartsAt;
    }

    private void tick() {
        if (worker != null) {
            worker.advance(age());
            answerWaiting(worker);
        }
        cell.timeline.after(MILLISECOND, this::tick);
    }

    private void answerWaiting(SimulatedFleetWorker present) {
        for (WaitingList list : List.copyOf(waiting)) {
            boolean over = now() >= list.until() || present.hasEnds();
            if (over) {
                waiting.remove(list);
                list.answer().accept(present.handle(age(), withoutAcknowledgement(list.call())));
            }
        }
    }

    /** Returns a call for the answer only, since a worker discards ends when a call arrives. */
    private static ListRuns withoutAcknowledgement(ListRuns call) {
        return new ListRuns(
                call.id(),
                call.worker(),
                call.fencingToken(),
                0,
                call.leaseUntil(),
                call.waitMilliseconds());
    }

    int lives() {
        return lives;
    }

    /** Carries out a call; the answer may come later, or never if the call expects none. */
    void handle(WorkerCall call, Optional<Consumer<CallOutcome>> answer) {
        if (worker == null) {
            if (cell.random.nextBoolean()) {
                answer.ifPresent(to -> to.accept(new CallOutcome.ConnectionRefused(call.id())));
            }
            return;
        }
        CallOutcome outcome = worker.handle(age(), call);
        if (answer.isEmpty()) {
            return;
        }
        if (call instanceof ListRuns list
                && outcome instanceof CallOutcome.Listed
                && list.waitMilliseconds() > 0
                && !worker.hasEnds()) {
            waiting.add(new WaitingList(list, now() + list.waitMilliseconds(), answer.get()));
        } else {
            answer.get().accept(outcome);
        }
    }
}
