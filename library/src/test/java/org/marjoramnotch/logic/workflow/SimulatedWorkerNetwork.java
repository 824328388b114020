package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.WorkerCall;

/**
 * Simulates the network between the leader and its workers, which delays or loses some calls and
 * outcomes.
 */
final class SimulatedWorkerNetwork {
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 400;

    /** Interval at which a waiting list call checks for ended runs. */
    private static final long POLL_INTERVAL_MILLISECONDS = 5;

    private final WorkflowCell cell;
    private final Set<WorkerId> cutOff = new HashSet<>();
    private final Set<WorkerId> hanging = new HashSet<>();
    private final Set<WorkerId> ignoringOrders = new HashSet<>();
    private final Set<WorkerId> renamed = new HashSet<>();
    private final Set<WorkerId> refusing = new HashSet<>();
    private double lossShare;
    private boolean promptLists;

    SimulatedWorkerNetwork(WorkflowCell cell) {
        this.cell = cell;
    }

    void loseCalls(double share) {
        lossShare = share;
    }

    void answerListsPromptly() {
        promptLists = true;
    }

    void cutOff(WorkerId worker, boolean cut) {
        include(cutOff, worker, cut);
    }

    boolean isCutOff(WorkerId worker) {
        return cutOff.contains(worker);
    }

    void hang(WorkerId worker, boolean hangs) {
        include(hanging, worker, hangs);
    }

    /** Sets whether a worker leaves orders unanswered while it answers list calls. */
    void ignoreOrders(WorkerId worker, boolean ignores) {
        include(ignoringOrders, worker, ignores);
    }

    /** Makes a worker with another name answer at the address of one that has ended. */
    void rename(WorkerId worker) {
        renamed.add(worker);
    }

    /** Makes a worker refuse connections while it continues its runs. */
    void refuseConnections(WorkerId worker) {
        refusing.add(worker);
    }

    private static void include(Set<WorkerId> set, WorkerId worker, boolean member) {
        if (member) {
            set.add(worker);
        } else {
            set.remove(worker);
        }
    }

    /** Sends a call to a worker. */
    void send(WorkerCall call) {
        if (ignoringOrders.contains(call.worker().id()) && !(call instanceof ListRuns)) {
            cell.schedule(
                    ANSWER_TIMEOUT_MILLISECONDS,
                    true,
                    cell.outcome(call, new CallOutcome.Unanswered(call.id())));
            return;
        }
        if (refusing.contains(call.worker().id())) {
            cell.schedule(
                    2, true, cell.outcome(call, new CallOutcome.ConnectionRefused(call.id())));
            return;
        }
        boolean cut = cutOff.contains(call.worker().id());
        boolean hangs = hanging.contains(call.worker().id());
        boolean lost = cell.random().nextDouble() < lossShare;
        if (cut || hangs || lost) {
            boolean executedLate = !cut && cell.random().nextBoolean();
            if (executedLate) {
                cell.schedule(
                        2_000 + cell.random().nextLong(8_000), false, () -> deliverLate(call));
            }
            cell.schedule(
                    ANSWER_TIMEOUT_MILLISECONDS,
                    true,
                    cell.outcome(call, new CallOutcome.Unanswered(call.id())));
            return;
        }
        if (promptLists && call instanceof ListRuns list) {
            SimulatedFleetWorker worker = cell.workers.get(list.worker().id());
            if (worker != null) {
                worker.renewLease(cell.now(), list);
            }
            listOnceEnded(list, cell.now() + list.waitMilliseconds());
            return;
        }
        long wait =
                call instanceof ListRuns list
                        ? cell.random().nextLong(list.waitMilliseconds() + 1)
                        : 0;
        cell.schedule(
                1 + cell.random().nextLong(4) + wait / 4,
                false,
                () ->
                        deliver(call)
                                .ifPresent(
                                        answer ->
                                                cell.schedule(
                                                        1 + cell.random().nextLong(4),
                                                        true,
                                                        cell.outcome(call, answer))));
    }

    private void listOnceEnded(ListRuns list, long until) {
        SimulatedFleetWorker worker = cell.workers.get(list.worker().id());
        if (worker == null) {
            cell.schedule(2, true, cell.outcome(list, new CallOutcome.Unanswered(list.id())));
        } else if (cell.now() < until && !worker.hasEndsAfter(list.acknowledgedEnds())) {
            cell.schedule(POLL_INTERVAL_MILLISECONDS, false, () -> listOnceEnded(list, until));
        } else {
            cell.schedule(2, true, cell.outcome(list, worker.handle(cell.now(), list)));
        }
    }

    private Optional<CallOutcome> deliver(WorkerCall call) {
        SimulatedFleetWorker worker = cell.workers.get(call.worker().id());
        if (worker == null) {
            return Optional.of(
                    renamed.contains(call.worker().id())
                            ? new CallOutcome.Rejected(
                                    call.id(),
                                    OptionalLong.empty(),
                                    RejectionReason.OTHER_INCARNATION)
                            : new CallOutcome.Unanswered(call.id()));
        }
        return Optional.of(worker.handle(cell.now(), call));
    }

    /** Delivers a delayed call; it is lost if the worker has restarted since. */
    private void deliverLate(WorkerCall call) {
        SimulatedFleetWorker worker = cell.workers.get(call.worker().id());
        if (worker != null && worker.worker().incarnation().equals(call.worker().incarnation())) {
            worker.handle(cell.now(), call);
        }
    }
}
