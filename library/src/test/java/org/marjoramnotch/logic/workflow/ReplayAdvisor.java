package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * An advisor in virtual time, and the daemons that put the leader's questions to it. It takes a
 * time for each question and for each worker named, and grants a share of the workers to a step.
 */
final class ReplayAdvisor {
    private static final long WAIT_MILLISECONDS = 1_000;

    /** Way between a daemon and the leader. */
    private static final long WAY_MILLISECONDS = 5;

    /** A queue's terms and the share of workers that the advisor grants to its steps. */
    record QueueAdvice(AdviceTiming terms, double grantedShare) {}

    private record Ticket(StepId step, WorkerId worker, long until) {}

    private static final class Daemon {
        final VmId vm;
        RequestHandle handle;
        Optional<AdviceQuestion> question = Optional.empty();
        long nextAt;

        Daemon(VmId vm, RequestHandle handle) {
            this.vm = vm;
            this.handle = handle;
        }
    }

    private final WorkflowCell cell;
    private final Map<String, QueueAdvice> terms;
    private final long seed;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Set<VmId> stopped = new HashSet<>();
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Deque<Integer> workersNamed = new ArrayDeque<>();
    private double busyMilliseconds;
    private long refusedTickets;
    private long lastTicket;

    /**
     * Creates an advisor.
     *
     * @param terms by the name of the queue
     */
    ReplayAdvisor(WorkflowCell cell, Map<String, QueueAdvice> terms, long seed) {
        this.cell = cell;
        this.terms = terms;
        this.seed = seed;
    }

    void addDaemons(int count) {
        for (int index = 0; index < count; index++) {
            VmId vm = new VmId("vm-" + index);
            daemons.add(new Daemon(vm, offer(vm, Optional.empty())));
        }
        cell.workers
                .values()
                .forEach(worker -> worker.checkTickets(start -> hasValidTicket(cell.now(), start)));
    }

    /** Stops a daemon, which then answers nothing that it was asked. */
    void stop(int daemon) {
        stopped.add(daemons.get(daemon).vm);
    }

    /** Returns how many workers each question named. */
    List<Integer> workersNamed() {
        return List.copyOf(workersNamed);
    }

    /** Returns the time that the advisor spent on answers. */
    double busyMilliseconds() {
        return busyMilliseconds;
    }

    /** Returns how many starts had no ticket that held. */
    long refusedTickets() {
        return refusedTickets;
    }

    boolean grants(StepId step, WorkerId worker) {
        long hash = (step.toString() + worker + seed).hashCode() * 0x9E3779B97F4A7C15L;
        return (hash >>> 11) * 0x1.0p-53 < termsOf(step).grantedShare();
    }

    /** Moves on to the cell's time. */
    void advance() {
        long now = cell.now();
        for (Daemon daemon : daemons) {
            if (stopped.contains(daemon.vm) || now < daemon.nextAt) {
                continue;
            }
            if (daemon.question.isPresent()) {
                AdviceAnswer answer = answer(daemon.question.get(), now - WAY_MILLISECONDS);
                daemon.question = Optional.empty();
                daemon.handle = offer(daemon.vm, Optional.of(answer));
                continue;
            }
            CellReply reply = cell.replies.remove(daemon.handle);
            if (reply instanceof AdviceQuestion question) {
                take(daemon, question);
            } else if (reply != null) {
                daemon.handle = offer(daemon.vm, Optional.empty());
            }
        }
    }

    private void take(Daemon daemon, AdviceQuestion question) {
        AdviceTiming cost = termsOf(question.step()).terms();
        double time =
                cost.decisionMilliseconds()
                        + cost.perWorkerMilliseconds() * question.workers().size();
        workersNamed.add(question.workers().size());
        busyMilliseconds += time;
        daemon.question = Optional.of(question);
        daemon.nextAt = cell.now() + (long) Math.ceil(time) + 2 * WAY_MILLISECONDS;
    }

    private RequestHandle offer(VmId vm, Optional<AdviceAnswer> answer) {
        return cell.request(new TakeAdviceQuestion(vm, answer, WAIT_MILLISECONDS));
    }

    private AdviceAnswer answer(AdviceQuestion question, long now) {
        long valid = (long) termsOf(question.step()).terms().ticketMilliseconds();
        Map<WorkerId, String> granted = new HashMap<>();
        for (WorkerId worker : question.workers()) {
            if (grants(question.step(), worker)) {
                lastTicket++;
                String text = "ticket-" + lastTicket;
                tickets.put(text, new Ticket(question.step(), worker, now + valid));
                granted.put(worker, text);
            }
        }
        return new AdviceAnswer(question.question(), Optional.of(granted), valid);
    }

    private boolean hasValidTicket(long now, StartRun start) {
        boolean holds =
                start.ticket()
                        .map(tickets::get)
                        .filter(ticket -> ticket.step().equals(start.run().task().step()))
                        .filter(ticket -> ticket.worker().equals(start.worker().id()))
                        .map(ticket -> now < ticket.until())
                        .orElse(false);
        if (!holds) {
            refusedTickets++;
        }
        return holds;
    }

    private QueueAdvice termsOf(StepId step) {
        return cell.ledger
                .workflow(step.workflow())
                .map(entry -> terms.get(entry.queue().name().value()))
                .orElseThrow();
    }
}
