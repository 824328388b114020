package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.WorkerCall;

/** Carries calls to workers, each on a channel of its own, so that calls overtake each other. */
final class FleetCalls {
    private static final long ORDER_TIMEOUT_MILLISECONDS = 400;
    private static final long LIST_MARGIN_MILLISECONDS = 600;
    private static final int SENDING_MICROSECONDS = 150;
    private static final long LATE_MINIMUM_MICROSECONDS = 2_000_000;
    private static final long LATE_MAXIMUM_MICROSECONDS = 12_000_000;

    private final FleetSimulation cell;
    private final UniformRandomProvider random;

    FleetCalls(FleetSimulation cell) {
        this.cell = cell;
        this.random = cell.random;
    }

    /** A call whose outcome has not reached the thread of the host. */
    private final class OpenCall {
        private final FleetHost host;
        private final WorkerCall call;
        private final long life;
        private boolean completed;

        OpenCall(FleetHost host, WorkerCall call) {
            this.host = host;
            this.call = call;
            this.life = host.life();
        }

        void complete(CallOutcome outcome) {
            if (completed || host.life() != life) {
                return;
            }
            completed = true;
            host.offer(
                    stepOf(outcome),
                    (core, now) -> {
                        cell.trace.add(
                                () -> "outcome host=" + host.machine.name() + " " + brief(outcome));
                        core.callOutcome(now, outcome);
                    });
        }
    }

    private static FleetHost.Step stepOf(CallOutcome outcome) {
        if (outcome instanceof CallOutcome.Listed list) {
            return list.ended().isEmpty() ? FleetHost.Step.LIST : FleetHost.Step.END;
        }
        return FleetHost.Step.ORDER;
    }

    void send(FleetHost host, WorkerCall call) {
        cell.trace.add(() -> "sent host=" + host.machine.name() + " " + brief(call));
        OpenCall open = new OpenCall(host, call);
        host.runLater(1 + random.nextInt(SENDING_MICROSECONDS), () -> transmit(open));
    }

    private void transmit(OpenCall open) {
        WorkerCall call = open.call;
        long timeout =
                call instanceof ListRuns list
                        ? list.waitMilliseconds() + LIST_MARGIN_MILLISECONDS
                        : ORDER_TIMEOUT_MILLISECONDS;
        open.host.runLater(
                timeout * MILLISECOND, () -> open.complete(new CallOutcome.Unanswered(call.id())));
        FleetWorkerNode worker = cell.worker(call.worker().id());
        boolean cut = cell.network.isCut(open.host.machine, worker.machine);
        boolean faulty = random.nextDouble() < worker.lossShare;
        if (cut && isCutNoticed(open, worker)) {
            return;
        }
        if (!cut && !faulty) {
            arriveLater(open, worker, true);
            return;
        }
        switch (random.nextInt(cut ? 2 : 3)) {
            case 0 -> cell.count("call lost");
            case 1 -> executeLate(open, worker);
            default -> {
                cell.count("answer lost");
                arriveLater(open, worker, false);
            }
        }
    }

    /** Completes a call if its caller notices the cut; one that meets a reset may arrive. */
    private boolean isCutNoticed(OpenCall open, FleetWorkerNode worker) {
        FleetNetwork.CutResponse response =
                cell.network.cutResponse(open.host.machine, worker.machine);
        if (response == FleetNetwork.CutResponse.SILENCE) {
            return false;
        }
        boolean refused = response == FleetNetwork.CutResponse.REFUSED_CONNECTION;
        cell.count(refused ? "connection refused by a cut" : "connection reset by a cut");
        if (!refused && random.nextBoolean()) {
            arriveLater(open, worker, false);
        }
        long id = open.call.id();
        open.host.runLater(
                2 * cell.network.delay(open.host.machine, worker.machine),
                () ->
                        open.complete(
                                refused
                                        ? new CallOutcome.ConnectionRefused(id)
                                        : new CallOutcome.Unanswered(id)));
        return true;
    }

    /** Lets a call arrive seconds later; it is lost if the worker has restarted since. */
    private void executeLate(OpenCall open, FleetWorkerNode worker) {
        cell.count("call carried out late");
        int life = worker.lives();
        cell.timeline.after(
                random.nextLong(LATE_MINIMUM_MICROSECONDS, LATE_MAXIMUM_MICROSECONDS),
                () -> {
                    if (worker.lives() == life) {
                        cell.trace.add(
                                () -> "late at=" + worker.machine.name() + " " + brief(open.call));
                        worker.handle(open.call, Optional.empty());
                    }
                });
    }

    private void arriveLater(OpenCall open, FleetWorkerNode worker, boolean answered) {
        cell.timeline.after(
                cell.network.delay(open.host.machine, worker.machine),
                () -> {
                    cell.trace.add(
                            () -> "arrives at=" + worker.machine.name() + " " + brief(open.call));
                    worker.handle(
                            open.call,
                            answered
                                    ? Optional.of(outcome -> answer(open, worker, outcome))
                                    : Optional.empty());
                });
    }

    private void answer(OpenCall open, FleetWorkerNode worker, CallOutcome outcome) {
        if (cell.network.isCut(worker.machine, open.host.machine)) {
            cell.count("answer cut off");
            return;
        }
        cell.timeline.after(
                cell.network.delay(worker.machine, open.host.machine),
                () -> {
                    if (open.host.life() == open.life) {
                        open.host.runLater(1 + random.nextInt(30), () -> open.complete(outcome));
                    }
                });
    }

    /** Omits the worker's address and capacity. */
    private static String brief(Object message) {
        return message.toString()
                .replaceAll("worker=FleetWorker\\[.*?worker=([^,\\]]*).*?draining=\\w+]", "w=$1");
    }
}
