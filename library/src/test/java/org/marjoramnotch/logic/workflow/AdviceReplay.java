package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Replays a rush on a busy fleet all of whose steps need advice: short steps arrive twice as often
 * for a while, beside wide long steps, gangs and standing steps with a spread limit.
 */
final class AdviceReplay {
    private static final int WORKERS = 246;
    private static final int DAEMONS = 39;
    private static final long RUSH_BEGINS = 4_000;
    private static final long RUSH_ENDS = 10_000;
    private static final long END = 40_000;
    private static final int STEP_MILLISECONDS = 5;

    /** A workflow that was sent. */
    private static final class Sent {
        final AdviceReplayKind kind;
        final long at;
        final WorkflowDraft draft;
        final Map<Integer, Long> ready = new HashMap<>();
        final Map<Integer, Integer> started = new HashMap<>();
        final Map<Integer, Integer> ended = new HashMap<>();
        final List<Double> atWork = new ArrayList<>();
        long completeAt = Long.MAX_VALUE;
        long objective;

        Sent(AdviceReplayKind kind, long at, WorkflowDraft draft) {
            this.kind = kind;
            this.at = at;
            this.draft = draft;
            ready.put(0, at);
        }
    }

    private final WorkflowCell cell;
    private final ReplayAdvisor advisor;
    private final UniformRandomProvider random;
    private final UniformRandomProvider runTimes;
    private final Map<JobId, Sent> sent = new HashMap<>();
    private final Map<AdviceReplayKind, List<Long>> firstStarts = new HashMap<>();
    private final Map<AdviceReplayKind, List<Long>> allStarted = new HashMap<>();
    private final long begin;
    private final double load;

    /**
     * Prepares a day.
     *
     * @param load the factor of all arrivals
     */
    AdviceReplay(long seed, double load) {
        this.load = load;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        runTimes = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        cell = new WorkflowCell(seed);
        new SimulatedGangs(cell);
        cell.answerListsPromptly();
        cell.request(
                new ApplyConfiguration(
                        new FleetConfiguration(
                                1,
                                "document",
                                List.of(AdviceReplayKind.values()).stream()
                                        .map(kind -> kind.queue)
                                        .toList(),
                                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                                List.of())));
        cell.run(100);
        for (int index = 0; index < WORKERS; index++) {
            cell.addWorker("w-" + index, new Resources(64_000, 128_000, 0));
        }
        cell.workers.values().forEach(worker -> worker.useRunTimes(this::runTime));
        advisor =
                new ReplayAdvisor(
                        cell,
                        List.of(AdviceReplayKind.values()).stream()
                                .collect(
                                        Collectors.toMap(
                                                kind -> kind.queue.name().value(),
                                                kind ->
                                                        new ReplayAdvisor.QueueAdvice(
                                                                kind.queue.advice().orElseThrow(),
                                                                kind.grantedShare))),
                        seed);
        cell.run(2_000);
        advisor.addDaemons(DAEMONS);
        begin = cell.now();
    }

    /** Plays the day and returns a line for each queue. */
    List<String> run() {
        while (cell.now() < begin + END) {
            for (AdviceReplayKind kind : AdviceReplayKind.values()) {
                send(kind);
            }
            cell.run(STEP_MILLISECONDS);
            advisor.advance();
            follow();
        }
        List<String> lines = new ArrayList<>();
        for (AdviceReplayKind kind : AdviceReplayKind.values()) {
            lines.add(summaryOf(kind));
        }
        lines.add(
                String.format(
                        Locale.ROOT,
                        "questions=%d named=%.1f advisor_busy=%.2f refused_tickets=%d",
                        advisor.workersNamed().size(),
                        advisor.workersNamed().stream().mapToInt(n -> n).average().orElse(0),
                        advisor.busyMilliseconds() / END / DAEMONS,
                        advisor.refusedTickets()));
        return lines;
    }

    /** Returns how many starts were refused for want of a ticket. */
    long refusedTickets() {
        return advisor.refusedTickets();
    }

    /** Returns a quantile of the waits of a queue's steps for their first start. */
    long firstStart(String queue, double quantile) {
        return quantile(firstStarts.get(AdviceReplayKind.valueOf(queue)), quantile);
    }

    private void send(AdviceReplayKind kind) {
        long at = cell.now() - begin;
        boolean rush = kind == AdviceReplayKind.PERMIT && at >= RUSH_BEGINS && at < RUSH_ENDS;
        double chance = load * kind.aSecond * STEP_MILLISECONDS / 1_000 * (rush ? 2 : 1);
        if (random.nextDouble() >= chance) {
            return;
        }
        String id = "%016x".formatted(random.nextLong());
        WorkflowDraft draft = kind.draft(random);
        CallTarget target =
                new CallTarget(kind.queue.host(), kind.queue.pathPrefix() + id, Optional.empty());
        cell.request(new SubmitWorkflowRequest(target, draft));
        Sent workflow = new Sent(kind, cell.now(), draft);
        workflow.objective = objectiveOf(workflow);
        sent.put(new JobId(id), workflow);
    }

    /** Returns the objective by true run times and one question about thirty workers a step. */
    private static long objectiveOf(Sent workflow) {
        QueueDefinition queue = workflow.kind.queue;
        double advice =
                queue.advice().orElseThrow().decisionMilliseconds()
                        + 30 * queue.advice().orElseThrow().perWorkerMilliseconds();
        double chain = workflow.draft.steps().size() * (workflow.kind.estimate + advice);
        return (long) (chain * queue.stretch()) + queue.slackMilliseconds();
    }

    private long runTime(StepDefinition step) {
        if (step.standing()) {
            return Long.MAX_VALUE / 2;
        }
        double unevenness = step.gang() ? 1 : 0.85 + 0.3 * runTimes.nextDouble();
        return (long) (step.estimateMilliseconds() * unevenness);
    }

    private void follow() {
        for (DecisionLogEntry note : cell.notes) {
            if (note.event().equals("run_started")) {
                onStarted((RunId) note.fields().get(1));
            } else if (note.event().equals("run_ended")) {
                onEnded(note);
            }
        }
        cell.notes.clear();
        if ((cell.now() - begin) % 2_000 < STEP_MILLISECONDS) {
            sent.forEach(this::countStanding);
        }
    }

    private void onStarted(RunId run) {
        Sent workflow = sent.get(run.task().step().workflow());
        int step = run.task().step().step();
        if (run.number() > 1) {
            return;
        }
        long wait = cell.now() - workflow.ready.get(step);
        int count = workflow.started.merge(step, 1, Integer::sum);
        if (count == 1) {
            firstStarts.computeIfAbsent(workflow.kind, kind -> new ArrayList<>()).add(wait);
        }
        if (count == workflow.draft.steps().get(step).tasks()) {
            allStarted.computeIfAbsent(workflow.kind, kind -> new ArrayList<>()).add(wait);
        }
    }

    private void onEnded(DecisionLogEntry note) {
        RunId run = (RunId) note.fields().get(1);
        Sent workflow = sent.get(run.task().step().workflow());
        int step = run.task().step().step();
        if (note.fields().get(5) != RunOutcome.DONE) {
            return;
        }
        int ended = workflow.ended.merge(step, 1, Integer::sum);
        StepDefinition definition = workflow.draft.steps().get(step);
        // One end of a gang stands for all of its members.
        if (ended == definition.tasks() || definition.gang()) {
            workflow.ready.putIfAbsent(step + 1, cell.now());
        }
        if (note.fields().get(7).equals("COMPLETE")) {
            workflow.completeAt = cell.now();
        }
    }

    /** Notes the share of the tasks that are at work. */
    private void countStanding(JobId id, Sent workflow) {
        if (workflow.kind != AdviceReplayKind.WATCH) {
            return;
        }
        StepTasks step = cell.ledger.workflow(id).orElseThrow().steps(0).get(0);
        long atWork = step.tasks().stream().filter(TaskState::isRunning).count();
        workflow.atWork.add((double) atWork / step.tasks().size());
    }

    /** Returns the worth of a workflow: full in its objective, a fifth within three of them. */
    private double worth(Sent workflow) {
        if (workflow.kind == AdviceReplayKind.WATCH) {
            return workflow.atWork.stream().mapToDouble(share -> share).average().orElse(0);
        }
        if (workflow.completeAt == Long.MAX_VALUE) {
            return 0;
        }
        long took = workflow.completeAt - workflow.at;
        long objective = workflow.objective;
        return took <= objective ? 1 : took <= 3 * objective ? 0.2 : 0;
    }

    private String summaryOf(AdviceReplayKind kind) {
        List<Sent> counted =
                sent.values().stream()
                        .filter(workflow -> workflow.kind == kind)
                        .filter(workflow -> workflow.at + workflow.objective <= begin + END)
                        .toList();
        return String.format(
                Locale.ROOT,
                "%-6s workflows=%d served=%.3f first_start_p50=%d p99=%d all_started_p50=%d p99=%d",
                kind,
                counted.size(),
                counted.stream().mapToDouble(this::worth).average().orElse(0),
                quantile(firstStarts.get(kind), 0.5),
                quantile(firstStarts.get(kind), 0.99),
                quantile(allStarted.get(kind), 0.5),
                quantile(allStarted.get(kind), 0.99));
    }

    private static long quantile(Collection<Long> values, double quantile) {
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1.0, sorted.size() * quantile));
    }
}
