package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;

/**
 * Simulates a change of leader in a large fleet, in which one processor opens connections and
 * handles answers sequentially. Guards against a leader that opens all connections before it
 * handles the first answer, so that no run starts until then.
 */
class FirstListLimiterTest {
    private static final int WORKERS = 246;
    private static final long OPEN_MILLISECONDS = 3;
    private static final long ANSWER_MILLISECONDS = 3;
    private static final long ROUND_TRIP_MILLISECONDS = 4;
    private static final long TICK_MILLISECONDS = 45;

    private record Answer(long arrivesAt, WorkerCall call) {}

    private final WorkflowLedger ledger = new WorkflowLedger();
    private final Deque<WorkerCall> toOpen = new ArrayDeque<>();
    private final Queue<Answer> inTransit =
            new PriorityQueue<>(Comparator.comparingLong(Answer::arrivesAt));
    private final Deque<WorkerCall> toHandle = new ArrayDeque<>();
    private final List<String> unresponsive = new ArrayList<>();
    private final LeaderOutput output = new CallCollector();
    private long now;

    private WorkerSessions sessions() {
        IntStream.range(0, WORKERS)
                .mapToObj(index -> worker("w-%03d".formatted(index)))
                .forEach(worker -> ledger.apply(new EnrollWorker(worker)));
        RunLog log = new RunLog(ledger, 1_025, RunMetricsListener.NONE);
        return new WorkerSessions(WorkflowSettings.defaults(), ledger, 1_025, log, now);
    }

    private static FleetWorker worker(String name) {
        return new FleetWorker(
                new WorkerIncarnation(new WorkerId(name), 1),
                WorkflowCell.POOL,
                "10.0.0.1:80",
                new AvailabilityZone("zone"),
                new Resources(64_000, 131_072, 0),
                List.of("a", "rack-1"),
                false);
    }

    /** Returns the time at which the given number of workers is usable. */
    private long usableAt(WorkerSessions sessions, int count) {
        long nextTickAt = now;
        while (countUsable(sessions) < count && now < 20_000) {
            if (now >= nextTickAt) {
                sessions.tick(now, output);
                nextTickAt = now + TICK_MILLISECONDS;
            }
            doNextWork(sessions);
        }
        return now;
    }

    /**
     * Performs the next piece of work; connections are opened before answers are handled, because
     * they were queued first.
     */
    private void doNextWork(WorkerSessions sessions) {
        while (!inTransit.isEmpty() && inTransit.peek().arrivesAt() <= now) {
            toHandle.add(inTransit.remove().call());
        }
        if (!toOpen.isEmpty()) {
            WorkerCall call = toOpen.remove();
            now += OPEN_MILLISECONDS;
            if (!unresponsive.contains(call.worker().id().value())) {
                inTransit.add(new Answer(now + ROUND_TRIP_MILLISECONDS, call));
            }
        } else if (!toHandle.isEmpty()) {
            WorkerCall call = toHandle.remove();
            now += ANSWER_MILLISECONDS;
            sessions.onOutcome(
                    now,
                    new CallOutcome.Listed(
                            call.id(), now, OptionalLong.of(1), List.of(), List.of()),
                    output);
        } else {
            now++;
        }
    }

    private long countUsable(WorkerSessions sessions) {
        return sessions.all().stream().filter(session -> session.isUsable(now)).count();
    }

    @Test
    void firstWorkersAreUsableLongBeforeTheLast() {
        WorkerSessions sessions = sessions();
        assertThat(usableAt(sessions, 10)).isLessThan(200);
        assertThat(usableAt(sessions, WORKERS)).isLessThan(2_000);
    }

    @Test
    void unresponsiveWorkersDelayNoOthers() {
        IntStream.range(0, 60).forEach(index -> unresponsive.add("w-%03d".formatted(index)));
        assertThat(usableAt(sessions(), WORKERS - 60)).isLessThan(2_500);
    }

    private final class CallCollector implements LeaderOutput {
        @Override
        public void propose(Command command) {}

        @Override
        public void reply(RequestHandle handle, CellReply reply) {}

        @Override
        public void call(WorkerCall call) {
            toOpen.add(call);
        }

        @Override
        public void logDecision(DecisionLogEntry logEntry) {}
    }
}
