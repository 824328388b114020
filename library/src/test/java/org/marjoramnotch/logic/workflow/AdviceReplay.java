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
 * Simulates peak load on a busy fleet in which all steps need advice. Short steps arrive at twice
 * the usual rate for some time, alongside long steps with many tasks, gangs, and standing steps
 * with a limit of tasks per worker.
 */
final class AdviceReplay {
    private static final int WORKERS = 246;
    private static final int DAEMONS = 39;
    private static final long PEAK_START_MILLISECONDS = 4_000;
    private static final long PEAK_END_MILLISECONDS = 10_000;
    private static final long DURATION_MILLISECONDS = 40_000;
    private static final int STEP_MILLISECONDS = 5;

    /** A submitted workflow and the times of its runs. */
    private static final class SubmittedWorkflow {
        final AdviceReplayKind kind;
        final long submittedAt;
        final WorkflowDraft draft;
        final Map<Integer, Long> ready = new HashMap<>();
        final Map<Integer, Integer> started = new HashMap<>();
        final Map<Integer, Integer> ended = new HashMap<>();
        final List<Double> runningShares = new ArrayList<>();
        long completeAt = Long.MAX_VALUE;
        long objective;

        SubmittedWorkflow(AdviceReplayKind kind, long at, WorkflowDraft draft) {
            this.kind = kind;
            this.submittedAt = at;
            this.draft = draft;
            ready.put(0, at);
        }
    }

    private final WorkflowCell cell;
    private final ReplayAdvisor advisor;
    private final UniformRandomProvider random;
    private final UniformRandomProvider runTimes;
    private final Map<JobId, SubmittedWorkflow> submitted = new HashMap<>();
    private final Map<AdviceReplayKind, List<Long>> firstStarts = new HashMap<>();
    private final Map<AdviceReplayKind, List<Long>> allStarted = new HashMap<>();
    private final long startedAt;
    private final double load;

    /**
     * Prepares the simulation.
     *
     * @param load factor applied to all arrival rates
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
        startedAt = cell.now();
    }

    /**
     * Runs the simulation and returns a line of results for each queue and a line for the advisor.
     */
    List<String> run() {
        while (cell.now() < startedAt + DURATION_MILLISECONDS) {
            for (AdviceReplayKind kind : AdviceReplayKind.values()) {
                submitAtRate(kind);
            }
            cell.run(STEP_MILLISECONDS);
            advisor.advance();
            processLog();
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
                        advisor.busyMilliseconds() / DURATION_MILLISECONDS / DAEMONS,
                        advisor.refusedTickets()));
        return lines;
    }

    /** Returns how many starts were rejected because they had no valid ticket. */
    long refusedTickets() {
        return advisor.refusedTickets();
    }

    /**
     * Returns a quantile of the time from when a step of a queue is ready until its first task
     * starts.
     */
    long firstStart(String queue, double quantile) {
        return quantile(firstStarts.get(AdviceReplayKind.valueOf(queue)), quantile);
    }

    private void submitAtRate(AdviceReplayKind kind) {
        long at = cell.now() - startedAt;
        boolean peak =
                kind == AdviceReplayKind.PERMIT
                        && at >= PEAK_START_MILLISECONDS
                        && at < PEAK_END_MILLISECONDS;
        double chance = load * kind.arrivalsPerSecond * STEP_MILLISECONDS / 1_000 * (peak ? 2 : 1);
        if (random.nextDouble() >= chance) {
            return;
        }
        String id = "%016x".formatted(random.nextLong());
        WorkflowDraft draft = kind.draft(random);
        CallTarget target =
                new CallTarget(kind.queue.host(), kind.queue.pathPrefix() + id, Optional.empty());
        cell.request(new SubmitWorkflowRequest(target, draft));
        SubmittedWorkflow workflow = new SubmittedWorkflow(kind, cell.now(), draft);
        workflow.objective = objectiveOf(workflow);
        submitted.put(new JobId(id), workflow);
    }

    /**
     * Returns the latency objective, which allows for the run times and one question about 30
     * workers for each step.
     */
    private static long objectiveOf(SubmittedWorkflow workflow) {
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
        double variation = step.gang() ? 1 : 0.85 + 0.3 * runTimes.nextDouble();
        return (long) (step.estimateMilliseconds() * variation);
    }

    private void processLog() {
        for (DecisionLogEntry logEntry : cell.decisionLog) {
            if (logEntry.event().equals("run_started")) {
                onStarted((RunId) logEntry.fields().get(1));
            } else if (logEntry.event().equals("run_ended")) {
                onEnded(logEntry);
            }
        }
        cell.decisionLog.clear();
        if ((cell.now() - startedAt) % 2_000 < STEP_MILLISECONDS) {
            submitted.forEach(this::recordRunningShare);
        }
    }

    private void onStarted(RunId run) {
        SubmittedWorkflow workflow = submitted.get(run.task().step().workflow());
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

    private void onEnded(DecisionLogEntry logEntry) {
        RunId run = (RunId) logEntry.fields().get(1);
        SubmittedWorkflow workflow = submitted.get(run.task().step().workflow());
        int step = run.task().step().step();
        if (logEntry.fields().get(5) != RunOutcome.DONE) {
            return;
        }
        int ended = workflow.ended.merge(step, 1, Integer::sum);
        StepDefinition definition = workflow.draft.steps().get(step);
        // The first successful end of a gang member completes the step.
        if (ended == definition.tasks() || definition.gang()) {
            workflow.ready.putIfAbsent(step + 1, cell.now());
        }
        if (logEntry.fields().get(7).equals("COMPLETE")) {
            workflow.completeAt = cell.now();
        }
    }

    /** Records the fraction of tasks that are running. */
    private void recordRunningShare(JobId id, SubmittedWorkflow workflow) {
        if (workflow.kind != AdviceReplayKind.WATCH) {
            return;
        }
        StepTasks step = cell.ledger.workflow(id).orElseThrow().steps(0).get(0);
        long atWork = step.tasks().stream().filter(TaskState::isRunning).count();
        workflow.runningShares.add((double) atWork / step.tasks().size());
    }

    /**
     * Returns the worth of a workflow: 1 if it completes within its objective, 0.2 within three
     * times the objective, else 0. For standing workflows, returns the average fraction of running
     * tasks.
     */
    private double worth(SubmittedWorkflow workflow) {
        if (workflow.kind == AdviceReplayKind.WATCH) {
            return workflow.runningShares.stream().mapToDouble(share -> share).average().orElse(0);
        }
        if (workflow.completeAt == Long.MAX_VALUE) {
            return 0;
        }
        long took = workflow.completeAt - workflow.submittedAt;
        long objective = workflow.objective;
        return took <= objective ? 1 : took <= 3 * objective ? 0.2 : 0;
    }

    private String summaryOf(AdviceReplayKind kind) {
        List<SubmittedWorkflow> counted =
                submitted.values().stream()
                        .filter(workflow -> workflow.kind == kind)
                        .filter(
                                workflow ->
                                        workflow.submittedAt + workflow.objective
                                                <= startedAt + DURATION_MILLISECONDS)
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
