package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Simulates the placement advisor and the daemons that poll the leader for questions to it. A
 * fraction of the answers is lost.
 */
final class SimulatedAdvisor {
    static final AdviceTiming TIMING = new AdviceTiming(60, 2, 2_000);
    private static final long POLL_WAIT_MILLISECONDS = 1_000;
    private static final long TIMEOUT_MILLISECONDS = 1_500;
    private static final int DAEMONS = 3;

    private final WorkflowCell cell;
    private final List<Daemon> daemons = new ArrayList<>();
    private double lossShare;

    private static final class Daemon {
        RequestHandle handle = new RequestHandle("none", 0);
        long nextAt;
        boolean asking;
        Optional<AdviceAnswer> answer = Optional.empty();
    }

    SimulatedAdvisor(WorkflowCell cell) {
        this.cell = cell;
        for (int index = 0; index < DAEMONS; index++) {
            daemons.add(new Daemon());
        }
        cell.afterEachStep(() -> daemons.forEach(this::advance));
    }

    void loseAnswers(double share) {
        lossShare = share;
    }

    /** Returns whether a worker may run a step; this never changes. */
    boolean mayRun(StepId step, WorkerId worker) {
        return Math.floorMod(step.hashCode() * 31 + worker.hashCode(), 3) != 0;
    }

    /**
     * Returns whether a start carries a ticket that is valid for this incarnation of the worker.
     */
    boolean isValid(StartRun start, SimulatedFleetWorker worker) {
        String[] parts = start.ticket().orElse("none 0 0").split(" ");
        long started = worker.worker().incarnation().startedEpochMilliseconds();
        return parts[0].equals(start.run().task().step().toString())
                && Long.parseLong(parts[1]) == started
                && cell.now() <= Long.parseLong(parts[2]);
    }

    private void advance(Daemon daemon) {
        CellReply reply = cell.replies.get(daemon.handle);
        if (!daemon.asking && reply instanceof AdviceQuestion question) {
            daemon.asking = true;
            double duration =
                    TIMING.decisionMilliseconds()
                            + TIMING.perWorkerMilliseconds() * question.workers().size();
            cell.runLater((long) duration, () -> answer(daemon, question));
        } else if (!daemon.asking && (reply != null || cell.now() >= daemon.nextAt)) {
            poll(daemon);
        }
    }

    private void answer(Daemon daemon, AdviceQuestion question) {
        Map<WorkerId, String> granted = new HashMap<>();
        for (WorkerId id : question.workers()) {
            SimulatedFleetWorker worker = cell.workers.get(id);
            if (worker != null && mayRun(question.step(), id)) {
                long started = worker.worker().incarnation().startedEpochMilliseconds();
                long until = cell.now() + (long) TIMING.ticketMilliseconds();
                granted.put(id, question.step() + " " + started + " " + until);
            }
        }
        boolean lost = cell.random().nextDouble() < lossShare;
        daemon.answer =
                lost
                        ? Optional.empty()
                        : Optional.of(
                                new AdviceAnswer(
                                        question.question(),
                                        Optional.of(granted),
                                        (long) TIMING.ticketMilliseconds()));
        daemon.asking = false;
        poll(daemon);
    }

    private void poll(Daemon daemon) {
        daemon.nextAt = cell.now() + TIMEOUT_MILLISECONDS;
        daemon.handle =
                cell.request(
                        new TakeAdviceQuestion(
                                new VmId("vm-" + daemons.indexOf(daemon)),
                                daemon.answer,
                                POLL_WAIT_MILLISECONDS));
        daemon.answer = Optional.empty();
    }
}
