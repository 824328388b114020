package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;

/**
 * Runs the workflow duty in steps of a millisecond, with commits that stall, calls that are held or
 * carried out late, and changes of leader that keep some of the commands in flight.
 */
final class AcknowledgementCell implements LeaderOutput {
    private static final long LEASE_MILLISECONDS = 3_000;
    private static final long TICK_MILLISECONDS = 45;
    private static final long REPORT_MILLISECONDS = 1_500;
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 400;
    private static final long LATEST_COPY_MILLISECONDS = 4_000;

    private record Proposal(Command command, long committedAt) {}

    final WorkflowLedger ledger = new WorkflowLedger();
    final AcknowledgedEnds ends = new AcknowledgedEnds();
    final UniformRandomProvider random;
    private long now = 1_000;

    /** Whether the next life of a worker carries out calls that were meant for the earlier one. */
    boolean nextLifeCarriesOutCalls;

    /** How often the leader and its workers answer each other within a millisecond. */
    int exchangesPerMillisecond;

    private final Timeline timeline = new Timeline();
    private final Map<WorkerId, AcknowledgedEnds.Life> lives = new TreeMap<>();
    private final SimulatedGangs gangs =
            new SimulatedGangs(
                    () -> lives.values().stream().map(life -> life.worker).toList(), () -> now);
    private final Deque<Proposal> log = new ArrayDeque<>();
    private List<WorkerCall> held = new ArrayList<>();
    private @Nullable WorkflowDuty duty;
    private double lossShare;
    private long heldUntil;
    private long stalledUntil;
    private long cutUntil;
    private @Nullable WorkerId cut;
    private long leaders;
    private long handles;

    AcknowledgementCell(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        startLeader();
    }

    void loseCalls(double share) {
        lossShare = share;
    }

    /** Stores nothing for a time, so that proposals stay in flight. */
    void stallCommits(long milliseconds) {
        stalledUntil = now + milliseconds;
    }

    /** Holds calls back for a time, as during a slow sync or a lapse of the leader's lease. */
    void holdCalls(long milliseconds) {
        heldUntil = now + milliseconds;
    }

    /** Lets calls to and from a worker get lost for a time. */
    void cutOff(WorkerId worker, long milliseconds) {
        cut = worker;
        cutUntil = now + milliseconds;
    }

    /** Lets a worker refuse its next start. */
    void rejectStart(WorkerId worker) {
        Optional.ofNullable(lives.get(worker)).ifPresent(life -> life.worker.rejectStarts(1));
    }

    /** Starts the first or next life of a worker; its earlier life ends with all its runs. */
    void startWorker(WorkerId id) {
        FleetWorker worker =
                new FleetWorker(
                        new WorkerIncarnation(id, WorkflowCell.EPOCH + now),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        new AvailabilityZone("zone"),
                        new Resources(4_000, 16_000, 0),
                        List.of("a", "rack-1"),
                        false);
        double rate = 0.985 + 0.03 * random.nextDouble();
        SimulatedFleetWorker life =
                new SimulatedFleetWorker(
                        worker,
                        random.nextLong(1_000_000),
                        rate,
                        run -> WorkflowCell.stepOf(ledger, run),
                        random,
                        0);
        lives.put(id, new AcknowledgedEnds.Life(life));
        request(new ReportWorker(worker, now));
    }

    /**
     * Replaces the leader after a time without one. A majority has stored some of the commands in
     * flight, and some calls that were taken before leave late.
     */
    void changeLeader(long milliseconds) {
        WorkflowDuty former = duty;
        if (former == null) {
            return;
        }
        former.onTermEnd();
        duty = null;
        timeline.dropLeaderActions();
        List<WorkerCall> taken = held;
        held = new ArrayList<>();
        for (WorkerCall call : taken) {
            if (random.nextBoolean()) {
                timeline.add(now + random.nextLong(LATEST_COPY_MILLISECONDS), false, late(call));
            }
        }
        int survivors = random.nextInt(log.size() + 1);
        for (int index = 0; index < survivors; index++) {
            ledger.apply((WorkflowCommand) log.remove().command());
        }
        log.clear();
        timeline.add(now + milliseconds, false, this::startLeader);
    }

    private void startLeader() {
        leaders++;
        duty =
                new WorkflowDuty(
                        WorkflowSettings.builder().leaseMilliseconds(LEASE_MILLISECONDS).build(),
                        ledger,
                        () -> WorkflowCell.EPOCH + now,
                        leaders * WorkflowDuty.FENCING_TOKENS,
                        now,
                        ConfigurationMetricsListener.NONE);
    }

    void request(CellRequest request) {
        handles++;
        WorkflowDuty leader = duty;
        if (leader != null) {
            leader.onRequest(now, new RequestHandle("test", handles), request, this);
        }
    }

    void run(long milliseconds) {
        long end = now + milliseconds;
        while (now < end) {
            now++;
            timeline.runUntil(now);
            lives.values().forEach(life -> ends.advance(now, life));
            gangs.advance();
            if (now % REPORT_MILLISECONDS == 0) {
                lives.values().stream()
                        .map(life -> life.worker.worker())
                        .filter(worker -> !isCutOff(worker.id()))
                        .forEach(worker -> request(new ReportWorker(worker, now)));
            }
            commit();
            advanceLeader();
            for (int exchange = 0; exchange < exchangesPerMillisecond; exchange++) {
                timeline.runUntil(now);
                advanceLeader();
            }
        }
    }

    private void commit() {
        while (now >= stalledUntil && !log.isEmpty() && now >= log.peek().committedAt()) {
            Command command = log.remove().command();
            CommandResult result = ledger.apply((WorkflowCommand) command);
            WorkflowDuty leader = duty;
            if (leader != null) {
                leader.onApplied(now, command, result, this);
            }
        }
    }

    private void advanceLeader() {
        WorkflowDuty leader = duty;
        if (leader == null || now < heldUntil) {
            return;
        }
        if (now % TICK_MILLISECONDS == 0) {
            leader.onTick(now, this);
        }
        leader.onBatchEnd(now, this);
        List<WorkerCall> taken = held;
        held = new ArrayList<>();
        taken.forEach(this::send);
    }

    @Override
    public void propose(Command command) {
        log.add(new Proposal(command, now + 1 + random.nextLong(12)));
    }

    @Override
    public void reply(RequestHandle handle, CellReply reply) {}

    @Override
    public void call(WorkerCall call) {
        held.add(call);
    }

    private boolean isCutOff(WorkerId worker) {
        return now < cutUntil && worker.equals(cut);
    }

    private void send(WorkerCall call) {
        AcknowledgedEnds.Life life = lives.get(call.worker().id());
        if (life == null) {
            return;
        }
        if (call instanceof ListRuns list && isOf(life, call)) {
            ends.checkLeaving(now, life, list, ledger);
        }
        long way = exchangesPerMillisecond > 0 ? 0 : 1;
        long answerAt = now + 2 * way + random.nextLong(3 + 5 * way);
        if (isCutOff(call.worker().id()) || random.nextDouble() < lossShare) {
            timeline.add(now + 1 + random.nextLong(LATEST_COPY_MILLISECONDS), false, late(call));
            answer(now + ANSWER_TIMEOUT_MILLISECONDS, new CallOutcome.Unanswered(call.id()));
            return;
        }
        long carriedOutAt = now + way + random.nextLong(answerAt - now - 2 * way + 1);
        timeline.add(
                carriedOutAt,
                false,
                () -> {
                    CallOutcome outcome = carryOut(call);
                    if (random.nextDouble() < lossShare) {
                        answer(
                                now + ANSWER_TIMEOUT_MILLISECONDS,
                                new CallOutcome.Unanswered(call.id()));
                    } else {
                        answer(answerAt, outcome);
                    }
                });
    }

    private CallOutcome carryOut(WorkerCall call) {
        AcknowledgedEnds.Life life = lives.get(call.worker().id());
        return life == null || !(nextLifeCarriesOutCalls || isOf(life, call))
                ? new CallOutcome.Unanswered(call.id())
                : ends.carryOut(now, life, call, lives.values());
    }

    /** Carries a call out without an answer; its worker must not have restarted since. */
    private Runnable late(WorkerCall call) {
        return () ->
                Optional.ofNullable(lives.get(call.worker().id()))
                        .filter(life -> isOf(life, call) && !isCutOff(call.worker().id()))
                        .ifPresent(life -> ends.carryOut(now, life, call, lives.values()));
    }

    private static boolean isOf(AcknowledgedEnds.Life life, WorkerCall call) {
        return life.worker.worker().incarnation().equals(call.worker().incarnation());
    }

    private void answer(long at, CallOutcome outcome) {
        WorkflowDuty caller = duty;
        timeline.add(
                at,
                true,
                () -> {
                    if (caller != null && caller == duty) {
                        caller.onCallOutcome(now, outcome, this);
                    }
                });
    }
}
