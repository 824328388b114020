package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Simulates a worker in virtual time, with leases, fencing, late orders and reports of run ends.
 */
public final class SimulatedFleetWorker {
    /** The image of steps whose runs all fail. */
    public static final String FAILING_IMAGE = "failing";

    private static final long STOP_MILLISECONDS = 200;

    private static final int MAXIMUM_ENDS_PER_LIST = 500;
    private static final long MAXIMUM_STANDING_MILLISECONDS = 3_000;

    private FleetWorker worker;
    private final long clockOrigin;
    private final double clockRate;
    private final Function<RunId, StepDefinition> steps;
    private final UniformRandomProvider random;
    private double failureShare;
    private final Map<WorkflowTaskId, SimulatedRun> live = new LinkedHashMap<>();
    private final Map<WorkflowTaskId, Long> lastClosedRun = new HashMap<>();
    private final List<RunEndReport> ended = new ArrayList<>();
    final SimulatedCheckpoints checkpoints = new SimulatedCheckpoints();
    private long highestFencingToken;
    private final SimulatedLease lease = new SimulatedLease();
    private long lastEnd;
    private int startsToReject;
    private boolean rejectsCalls;
    private double standingFailureShare;
    private ToLongFunction<StepDefinition> runTimes;
    private Predicate<StartRun> ticketCheck = start -> true;
    private FleetWorkerListener listener = FleetWorkerListener.NONE;

    /** Creates a worker without runs, whose clock runs at a multiple of real time. */
    public SimulatedFleetWorker(
            FleetWorker worker,
            long clockOrigin,
            double clockRate,
            Function<RunId, StepDefinition> steps,
            UniformRandomProvider random,
            double failureShare) {
        this.worker = worker;
        this.clockOrigin = clockOrigin;
        this.clockRate = clockRate;
        this.steps = steps;
        this.random = random;
        this.failureShare = failureShare;
        this.runTimes = step -> step.estimateMilliseconds() / 2 + random.nextLong(600);
    }

    public void useRunTimes(ToLongFunction<StepDefinition> times) {
        runTimes = times;
    }

    /** Renews the lease from a list call that waits for a run to end. */
    void renewLease(long now, ListRuns list) {
        if (list.fencingToken() >= highestFencingToken) {
            list.leaseUntil().ifPresent(until -> lease.extend(clock(now), until));
        }
    }

    boolean hasEndsAfter(long acknowledged) {
        return lastEnd > acknowledged;
    }

    /** Returns whether any ends are not acknowledged yet. */
    public boolean hasEnds() {
        return !ended.isEmpty();
    }

    /** Rejects the next starts for lack of a ticket. */
    public void rejectStarts(int count) {
        startsToReject = count;
    }

    /** Sets whether the worker rejects every call, as an unhealthy worker does. */
    public void rejectCalls(boolean rejects) {
        rejectsCalls = rejects;
    }

    /** Sets the fraction of runs that fail, for runs started from now on. */
    void failRuns(double share) {
        failureShare = share;
    }

    /**
     * Sets the fraction of standing runs that fail within some seconds although the worker is
     * healthy.
     */
    void failStandingRuns(double share) {
        standingFailureShare = share;
    }

    void checkTickets(Predicate<StartRun> check) {
        ticketCheck = check;
    }

    public void setListener(FleetWorkerListener newListener) {
        listener = newListener;
    }

    void onRunEnd(BiConsumer<RunId, RunOutcome> onEnd) {
        setListener(
                new FleetWorkerListener() {
                    @Override
                    public void onEnded(long number, RunId run, RunOutcome outcome) {
                        onEnd.accept(run, outcome);
                    }
                });
    }

    /** Reports the worker as draining from now on. */
    public void drain() {
        worker =
                new FleetWorker(
                        worker.incarnation(),
                        worker.pool(),
                        worker.address(),
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        true);
    }

    public FleetWorker worker() {
        return worker;
    }

    public Collection<SimulatedRun> live() {
        return live.values();
    }

    public long clock(long now) {
        return clockOrigin + (long) (now * clockRate);
    }

    /** Ends the runs that are due to end. */
    public void advance(long now) {
        boolean lapsed = lease.isOver(clock(now));
        for (SimulatedRun run : List.copyOf(live.values())) {
            run.seenAt = now;
            if (lapsed) {
                end(run, RunOutcome.LAPSED);
            } else if (now >= run.stopsAt) {
                end(run, RunOutcome.STOPPED);
            } else if (now >= run.endsAt) {
                end(run, run.outcome);
            }
        }
        if (lease.lapse(clock(now))) {
            listener.onLeaseLapsed();
        }
    }

    /** Carries out a call and returns the answer. */
    public CallOutcome handle(long now, WorkerCall call) {
        advance(now);
        if (call.fencingToken() < highestFencingToken) {
            return rejected(now, call, RejectionReason.FENCED);
        }
        highestFencingToken = call.fencingToken();
        if (rejectsCalls) {
            return new CallOutcome.Rejected(
                    call.id(), OptionalLong.empty(), RejectionReason.UNHEALTHY);
        }
        if (call instanceof ListRuns list) {
            return list(now, list);
        }
        if (call instanceof StopRun stop) {
            lastClosedRun.merge(stop.run().task(), stop.run().number(), Math::max);
            SimulatedRun run = live.get(stop.run().task());
            if (run != null && run.run.equals(stop.run())) {
                run.stopsAt = Math.min(run.stopsAt, now + random.nextLong(STOP_MILLISECONDS));
            }
            return new CallOutcome.Accepted(call.id(), OptionalLong.of(clock(now)));
        }
        return call instanceof StartRun start
                ? start(now, start)
                : new CallOutcome.Accepted(call.id(), OptionalLong.of(clock(now)));
    }

    private CallOutcome list(long now, ListRuns list) {
        ended.removeIf(report -> report.number() <= list.acknowledgedEnds());
        listener.onEndsAcknowledged(list.acknowledgedEnds());
        list.leaseUntil().ifPresent(until -> lease.extend(clock(now), until));
        List<RunStatus> statuses = live.values().stream().map(run -> run.status(now)).toList();
        return new CallOutcome.Listed(
                list.id(),
                clock(now),
                OptionalLong.of(worker.incarnation().startedEpochMilliseconds()),
                statuses,
                ended.stream().limit(MAXIMUM_ENDS_PER_LIST).toList());
    }

    private CallOutcome start(long now, StartRun start) {
        RunId run = start.run();
        SimulatedRun existing = live.get(run.task());
        lease.extend(clock(now), start.leaseUntil());
        if (startsToReject > 0) {
            startsToReject--;
            return rejected(now, start, RejectionReason.NO_TICKET);
        }
        if (existing != null && existing.run.equals(run)) {
            return new CallOutcome.Accepted(start.id(), OptionalLong.of(clock(now)));
        }
        if (!ticketCheck.test(start)) {
            return rejected(now, start, RejectionReason.NO_TICKET);
        }
        if (run.number() <= lastClosedRun.getOrDefault(run.task(), 0L)) {
            return rejected(now, start, RejectionReason.SUPERSEDED);
        }
        if (start.leaseUntil() <= clock(now)) {
            return rejected(now, start, RejectionReason.LEASE_OVER);
        }
        StepDefinition step = steps.apply(run);
        boolean fails = random.nextDouble() < failureShare || step.image().equals(FAILING_IMAGE);
        long resumed = checkpoints.resumedFrom(start.checkpoint());
        long duration = runTimes.applyAsLong(step) - resumed;
        live.put(
                run.task(),
                new SimulatedRun(
                        run,
                        step,
                        now,
                        resumed,
                        checkpoints.interval(),
                        endOf(now, step, fails, duration),
                        fails || step.standing() ? RunOutcome.FAILED : RunOutcome.DONE));
        listener.onStarted(run);
        return new CallOutcome.Accepted(start.id(), OptionalLong.of(clock(now)));
    }

    private long endOf(long now, StepDefinition step, boolean fails, long duration) {
        if (step.gang()) {
            return Long.MAX_VALUE;
        }
        if (!step.standing() || fails) {
            return now + duration;
        }
        boolean failsLater = standingFailureShare > 0 && random.nextDouble() < standingFailureShare;
        return failsLater ? now + random.nextLong(MAXIMUM_STANDING_MILLISECONDS) : Long.MAX_VALUE;
    }

    /** Ends a run with an outcome that depends on other workers, as in a gang. */
    void endNow(RunId run, RunOutcome outcome) {
        SimulatedRun existing = live.get(run.task());
        if (existing != null && existing.run.equals(run)) {
            end(existing, outcome);
        }
    }

    private CallOutcome rejected(long now, WorkerCall call, RejectionReason reason) {
        return new CallOutcome.Rejected(call.id(), OptionalLong.of(clock(now)), reason);
    }

    private void end(SimulatedRun run, RunOutcome outcome) {
        live.remove(run.run.task());
        checkpoints.onEnded(run, outcome);
        lastClosedRun.merge(run.run.task(), run.run.number(), Math::max);
        lastEnd++;
        ended.add(new RunEndReport(lastEnd, new RunEnd(run.run, outcome, run.checkpoint())));
        listener.onEnded(lastEnd, run.run, outcome);
    }
}
