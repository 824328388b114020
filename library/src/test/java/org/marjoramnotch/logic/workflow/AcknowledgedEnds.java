package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Checks from outside, at the workers, which run ends a leader lets them discard, and that no task
 * starts again once such an end was {@code done}. An end before a lapse of the worker's lease
 * doesn't count.
 */
final class AcknowledgedEnds {
    /** The longest lease that a worker accepts. */
    private static final long MAXIMUM_LEASE_MILLISECONDS = 10_000;

    /** One life of a worker, with its lease by its own clock. */
    static final class Life {
        final SimulatedFleetWorker worker;
        private final List<End> ends = new ArrayList<>();
        private long leaseUntil;
        private long lapsedAt = -1;
        private int acknowledged;

        Life(SimulatedFleetWorker worker) {
            this.worker = worker;
        }
    }

    private record End(RunId run, RunOutcome outcome, long at) {}

    private final Map<WorkflowTaskId, Long> lastStarted = new HashMap<>();
    private final Set<WorkflowTaskId> finished = new HashSet<>();
    private int acknowledgedDone;

    /** Returns how many ends {@code done} the workers were told to discard. */
    int acknowledgedDone() {
        return acknowledgedDone;
    }

    /** Ends the runs of a worker that are due to end. */
    void advance(long now, Life life) {
        life.worker.onRunEnd((run, outcome) -> life.ends.add(new End(run, outcome, now)));
        if (life.worker.clock(now) >= life.leaseUntil) {
            life.lapsedAt = now;
        }
        life.worker.advance(now);
    }

    /** Lets a worker carry out a call. */
    CallOutcome carryOut(long now, Life life, WorkerCall call, Iterable<Life> all) {
        advance(now, life);
        boolean hadRun = call instanceof StartRun start && hasRun(life, start.run());
        CallOutcome outcome = life.worker.handle(now, call);
        if (outcome instanceof CallOutcome.Rejected rejected
                && rejected.reason() == RejectionReason.FENCED) {
            return outcome;
        }
        if (call instanceof ListRuns list) {
            list.leaseUntil().ifPresent(until -> extend(now, life, until));
            onDiscarded(life, list);
        } else if (call instanceof StartRun start) {
            extend(now, life, start.leaseUntil());
            if (!hadRun && hasRun(life, start.run())) {
                onStarted(now, start.run(), life, all);
            }
        }
        return outcome;
    }

    /** Checks the number in a list call that leaves the leader. */
    void checkLeaving(long now, Life life, ListRuns list, WorkflowLedger ledger) {
        long last = Math.min(list.acknowledgedEnds(), life.ends.size());
        for (int number = life.acknowledged + 1; number <= last; number++) {
            End end = life.ends.get(number - 1);
            assertThat(mayDiscard(life, end, ledger))
                    .as("acknowledgement of end %d, %s, at %d", number, end, now)
                    .isTrue();
        }
    }

    private static boolean mayDiscard(Life life, End end, WorkflowLedger ledger) {
        return !counts(life, end)
                || ledger.activeWorkflow(end.run().task().step().workflow())
                        .flatMap(entry -> entry.task(end.run().task()))
                        .map(task -> task.phase() == TaskState.Phase.DONE)
                        .orElse(true);
    }

    private static boolean counts(Life life, End end) {
        return end.outcome() == RunOutcome.DONE && life.lapsedAt <= end.at();
    }

    private static boolean hasRun(Life life, RunId run) {
        return life.worker.live().stream().anyMatch(live -> live.run.equals(run));
    }

    private static void extend(long now, Life life, long until) {
        long latestEnd = life.worker.clock(now) + MAXIMUM_LEASE_MILLISECONDS;
        life.leaseUntil = Math.max(life.leaseUntil, Math.min(until, latestEnd));
    }

    private void onDiscarded(Life life, ListRuns list) {
        long last = Math.min(list.acknowledgedEnds(), life.ends.size());
        while (life.acknowledged < last) {
            End end = life.ends.get(life.acknowledged);
            life.acknowledged++;
            if (counts(life, end)) {
                acknowledgedDone++;
                finished.add(end.run().task());
                assertThat(lastStarted.get(end.run().task()))
                        .as("last run of a task whose run %s was done", end.run())
                        .isEqualTo(end.run().number());
            }
        }
    }

    private void onStarted(long now, RunId run, Life life, Iterable<Life> all) {
        assertThat(finished)
                .as("done tasks at the start of %s at %d", run, now)
                .doesNotContain(run.task());
        for (Life other : all) {
            advance(now, other);
            assertThat(
                            other != life
                                    && other.worker.live().stream()
                                            .anyMatch(live -> live.run.task().equals(run.task())))
                    .as("another run beside %s at %d", run, now)
                    .isFalse();
        }
        lastStarted.merge(run.task(), run.number(), Math::max);
    }
}
